package spar

import "fmt"

// Size is an amount of a worker's resources. The zero value is empty.
type Size struct {
	// CPUMilli is the CPU share in thousandths of a processor.
	CPUMilli int64 `json:"cpu_milli" jsonschema:"minimum=0,description=processors in thousandths"`
	// MemoryMB is the memory in mebibytes.
	MemoryMB int64 `json:"memory_mb" jsonschema:"minimum=0,description=memory in mebibytes"`
	// Accelerators is the number of accelerator devices.
	Accelerators int64 `json:"accelerators,omitempty" jsonschema:"minimum=0,description=whole accelerators"`
}

// Add returns the sum of two sizes.
func (s Size) Add(o Size) Size {
	return Size{s.CPUMilli + o.CPUMilli, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Sub returns s minus o. Fields of the result may be negative.
func (s Size) Sub(o Size) Size {
	return Size{s.CPUMilli - o.CPUMilli, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Fits reports whether no field of s is larger than that of o.
func (s Size) Fits(o Size) bool {
	return s.CPUMilli <= o.CPUMilli && s.MemoryMB <= o.MemoryMB && s.Accelerators <= o.Accelerators
}

// IsNegative reports whether any field is below zero.
func (s Size) IsNegative() bool {
	return s.CPUMilli < 0 || s.MemoryMB < 0 || s.Accelerators < 0
}

// String formats the fields with their units.
func (s Size) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators", s.CPUMilli, s.MemoryMB, s.Accelerators)
}

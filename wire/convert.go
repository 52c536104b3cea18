package wire

import "github.com/berylspar/spar"

// ID converts the name of an attempt.
func (x *TaskRef) ID() spar.TaskID {
	return spar.TaskID{Job: x.GetJob(), Index: x.GetIndex(), Attempt: x.GetAttempt()}
}

// RefOf converts the name of an attempt.
func RefOf(id spar.TaskID) *TaskRef {
	return &TaskRef{Job: id.Job, Index: id.Index, Attempt: id.Attempt}
}

// Spar converts a size.
func (x *Size) Spar() spar.Size {
	return spar.Size{CPUMilli: x.GetCpuMilli(), MemoryMB: x.GetMemoryMb(), Accelerators: x.GetAccelerators()}
}

// SizeOf converts a size.
func SizeOf(s spar.Size) *Size {
	return &Size{CpuMilli: s.CPUMilli, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators}
}

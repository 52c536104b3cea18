package wire

import "github.com/berylspar/spar"

// ID returns the attempt that x names as a spar.TaskID.
func (x *TaskRef) ID() spar.TaskID {
	return spar.TaskID{Job: x.GetJob(), Index: x.GetIndex(), Attempt: x.GetAttempt()}
}

// RefOf returns the message that names the attempt id.
func RefOf(id spar.TaskID) *TaskRef {
	return &TaskRef{Job: id.Job, Index: id.Index, Attempt: id.Attempt}
}

// Spar returns x as a spar.Size.
func (x *Size) Spar() spar.Size {
	return spar.Size{CPUMilli: x.GetCpuMilli(), MemoryMB: x.GetMemoryMb(), Accelerators: x.GetAccelerators()}
}

// SizeOf returns s as a message.
func SizeOf(s spar.Size) *Size {
	return &Size{CpuMilli: s.CPUMilli, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators}
}

package triage

import "container/heap"

// keptJob is a job that still counts as in time.
type keptJob struct {
	*Job
	index   int
	density float64
}

// worthHeap holds the kept jobs, with that to be set back first on top: of the
// last priority, and worth least for its work.
type worthHeap []keptJob

func (h *worthHeap) push(k keptJob) { heap.Push(h, k) }
func (h *worthHeap) pop() keptJob   { return heap.Pop(h).(keptJob) }

func (h worthHeap) Len() int      { return len(h) }
func (h worthHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h worthHeap) Less(i, j int) bool {
	switch a, b := h[i], h[j]; {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.density != b.density:
		return a.density < b.density
	default:
		return compareAge(a.Job, b.Job) > 0
	}
}
func (h *worthHeap) Push(x any) { *h = append(*h, x.(keptJob)) }
func (h *worthHeap) Pop() any {
	last := len(*h) - 1
	k := (*h)[last]
	*h = (*h)[:last]
	return k
}

package sched

// heap is a binary min-heap that reports the index of each element, so that an
// element can be removed or moved without a search. container/heap would add an
// interface call to each comparison.
type heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(x T, index int) // called with -1 on removal
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	h.siftUp(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	x := h.items[i]
	last := len(h.items) - 1
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(x, -1)
	if i < last {
		h.items[i] = moved
		h.fix(i)
	}
}

// fix restores the heap order after the key of element i has changed.
func (h *heap[T]) fix(i int) {
	if h.siftUp(i) == i {
		h.siftDown(i)
	}
}

func (h *heap[T]) siftUp(i int) int {
	x := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(x, h.items[parent]) {
			break
		}
		h.items[i] = h.items[parent]
		h.setIndex(h.items[i], i)
		i = parent
	}
	h.items[i] = x
	h.setIndex(x, i)
	return i
}

func (h *heap[T]) siftDown(i int) {
	x := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], x) {
			break
		}
		h.items[i] = h.items[child]
		h.setIndex(h.items[i], i)
		i = child
	}
	h.items[i] = x
	h.setIndex(x, i)
}

package admission

// heap is a binary heap of task numbers, lowest key first. It tracks the position of each
// task, so that any task can be removed.
type heap struct {
	entries []heapEntry
	// positions holds the index into entries by task number.
	positions []int32
}

type heapEntry struct {
	key  uint64
	task int32
}

func (hp *heap) len() int { return len(hp.entries) }

// first returns the entry with the lowest key. The heap must not be empty.
func (hp *heap) first() heapEntry { return hp.entries[0] }

func (hp *heap) push(task int32, key uint64) {
	for int(task) >= len(hp.positions) {
		hp.positions = append(hp.positions, -1)
	}
	hp.entries = append(hp.entries, heapEntry{key: key, task: task})
	hp.siftUp(len(hp.entries) - 1)
}

func (hp *heap) remove(task int32) {
	i, last := int(hp.positions[task]), len(hp.entries)-1
	moved := hp.entries[last]
	hp.entries = hp.entries[:last]
	if i == last {
		return
	}
	hp.entries[i] = moved
	if i > 0 && moved.key < hp.entries[(i-1)/2].key {
		hp.siftUp(i)
		return
	}
	hp.siftDown(i)
}

func (hp *heap) siftUp(i int) {
	moved := hp.entries[i]
	for i > 0 {
		parent := (i - 1) / 2
		if hp.entries[parent].key <= moved.key {
			break
		}
		hp.set(i, hp.entries[parent])
		i = parent
	}
	hp.set(i, moved)
}

func (hp *heap) siftDown(i int) {
	moved := hp.entries[i]
	for {
		child := 2*i + 1
		if child >= len(hp.entries) {
			break
		}
		if child+1 < len(hp.entries) && hp.entries[child+1].key < hp.entries[child].key {
			child++
		}
		if moved.key <= hp.entries[child].key {
			break
		}
		hp.set(i, hp.entries[child])
		i = child
	}
	hp.set(i, moved)
}

func (hp *heap) set(i int, en heapEntry) {
	hp.entries[i] = en
	hp.positions[en.task] = int32(i)
}

package policy

import "math/bits"

// workerState is a worker with what runs on it and what is set aside on it.
type workerState struct {
	Worker
	rack      *rackState
	condition Condition
	// all is the mask of the worker's accelerators; the masks below are parts of it.
	all uint32
	// used accelerators are held by gangs that run or start.
	used uint32
	// claimed accelerators are promised to a gang that waits for victims to leave.
	claimed uint32
	// held accelerators are kept for the gang with the reservation.
	held uint32
	// protected accelerators are used or claimed by gangs inside their account's guarantee.
	protected uint32
	// guaranteed accelerators belong to guaranteed cells.
	guaranteed uint32
	// freeCores and freeMemory are left by all gangs; negative while victims leave.
	freeCores  int
	freeMemory int
	// overCores and overMemory are what protected gangs take beyond the share of their accelerators.
	overCores  int
	overMemory int
	units      []*entitledUnit
	runs       []*run
	evidence   evidence
	// distrusted workers get no guaranteed cells: tasks failed there, and a claim can't be met otherwise.
	distrusted bool
	// leaf and rackLeaf are the positions in the two indexes.
	leaf     int
	rackLeaf int
	// extra is what the trial at hand adds; valid when extraTrial is the current trial.
	extra      extra
	extraTrial uint64
}

// extra is what gangs would free if they left.
type extra struct {
	mask   uint32
	cores  int
	memory int
}

// rackState is a rack with the number of free cells of each size class on its workers.
type rackState struct {
	at      int
	name    string
	workers []*workerState
	cells   [sizeClasses]int
	// lo and hi bound the rack's leaves in the index by rack.
	lo, hi int
	// extraCells is what the trial at hand adds; valid when extraTrial is the current trial.
	extraCells [sizeClasses]int
	extraTrial uint64
}

// available returns the accelerators that a borrower may start on now.
func (w *workerState) available() uint32 {
	if w.condition != Healthy {
		return 0
	}
	return w.all &^ (w.used | w.claimed | w.held)
}

// shareOf returns the cores and the memory that belong to a number of the worker's accelerators.
func (w *workerState) shareOf(accelerators int) (cores, memoryMiB int) {
	if w.Accelerators == 0 {
		return 0, 0
	}
	return w.Cores / w.Accelerators * accelerators, w.MemoryMiB / w.Accelerators * accelerators
}

// over returns what members with a number of accelerators each take beyond their share.
func (w *workerState) over(members, accelerators, cores, memoryMiB int) (overCores, overMemory int) {
	shareCores, shareMemory := w.shareOf(accelerators)
	return members * max(cores-shareCores, 0), members * max(memoryMiB-shareMemory, 0)
}

// firm reports whether every guaranteed accelerators can get its share of cores and memory beside what protected
// gangs take beyond theirs, once all borrowers have left.
func (w *workerState) firm() bool {
	return w.firmWith(bits.OnesCount32(w.guaranteed), 0, 0)
}

// firmWith is firm for a number of guaranteed accelerators and more taken beyond the shares.
func (w *workerState) firmWith(guaranteed, overCores, overMemory int) bool {
	cores, memory := w.shareOf(guaranteed)
	return w.overCores+overCores+cores <= w.Cores && w.overMemory+overMemory+memory <= w.MemoryMiB
}

// extraIn returns what the trial adds on the worker.
func (w *workerState) extraIn(trial uint64) extra {
	if w.extraTrial != trial {
		return extra{}
	}
	return w.extra
}

// spot is the place of one member of a gang.
type spot struct {
	worker *workerState
	mask   uint32
}

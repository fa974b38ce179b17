package policy

import (
	"fmt"
	"math/bits"
	"slices"

	"github.com/go-faster/errors"
)

// ErrShape is wrapped by errors about shapes that no gang can have.
var ErrShape = errors.New("the shape is not allowed: give 1 to 64 members of 1, 2, 4 or 8 accelerators")

// PackError reports a guarantee that does not fit beside the others.
type PackError struct {
	Account string
	Shape   Shape
	// Fitting is how many of the Count shapes fit.
	Fitting int
	Count   int
	// SpareMissing is set when the shapes fit, but not the spare worker that covers the loss of one.
	SpareMissing bool
}

// Error names the account, the shape and the remedy.
func (e *PackError) Error() string {
	if e.SpareMissing {
		return fmt.Sprintf("guarantee of account %s for %s: no whole worker is left as a spare: add a worker, guarantee less or drop the spare",
			e.Account, e.Shape)
	}
	return fmt.Sprintf("guarantee of account %s for %d times %s: only %d fit beside the other guarantees: lower the count, choose a smaller or less adjacent shape, or add workers",
		e.Account, e.Count, e.Shape, e.Fitting)
}

// String describes the shape for people.
func (s Shape) String() string {
	places := [...]string{"worker", "rack", "data centre"}
	return fmt.Sprintf("%d x %d accelerators within one %s", s.Members, s.Accelerators, places[min(int(s.Adjacency), len(places)-1)])
}

// Total returns the accelerators of the whole gang.
func (s Shape) Total() int {
	return s.Members * s.Accelerators
}

func (s Shape) rackBound() bool {
	return s.Adjacency == SameRack && s.Members > 1
}

// PackedShape is one guaranteed shape with the cells set aside for it.
type PackedShape struct {
	// Guarantee is the position in the guarantees given; -1 for a spare worker.
	Guarantee int
	Members   []Member
}

// PackGuarantees sets cells aside for every guaranteed shape at once, and whole spare workers so that any one worker
// can be lost when a guarantee asks for it. It returns a *PackError for the first shape that does not fit, or an
// error that wraps ErrShape. The search is greedy in several orders: a sheet that needs more than that is refused.
func PackGuarantees(workers []Worker, guarantees []Guarantee) ([]PackedShape, error) {
	if err := checkShapes(guarantees); err != nil {
		return nil, err
	}
	var best *PackError
	for _, order := range packOrders {
		p := newPacker(workers, guarantees)
		failure := p.pack(order)
		if failure == nil {
			return p.packed, nil
		}
		if best == nil || failure.Fitting > best.Fitting {
			best = failure
		}
	}
	return nil, best
}

func checkShapes(guarantees []Guarantee) error {
	for i := range guarantees {
		g := &guarantees[i]
		fits := g.Shape.Members >= 1 && g.Shape.Members <= MaxMembers && slices.Contains(cellSizes[:], g.Shape.Accelerators)
		if !fits || g.Count < 0 {
			return errors.Wrapf(ErrShape, "guarantee of account %s for %s", g.Account, g.Shape)
		}
	}
	return nil
}

// packOrder compares two guarantees; the lesser is packed first.
type packOrder func(a, b *Guarantee) int

var packOrders = []packOrder{
	func(a, b *Guarantee) int {
		return firstOf(b.Shape.Accelerators-a.Shape.Accelerators, int(a.Shape.Adjacency)-int(b.Shape.Adjacency), b.Shape.Total()-a.Shape.Total())
	},
	func(a, b *Guarantee) int {
		return firstOf(adjacencyRank(a)-adjacencyRank(b), b.Shape.Total()-a.Shape.Total(), b.Shape.Accelerators-a.Shape.Accelerators)
	},
	func(a, b *Guarantee) int {
		return firstOf(b.Shape.Total()-a.Shape.Total(), b.Shape.Accelerators-a.Shape.Accelerators)
	},
	func(a, b *Guarantee) int {
		return firstOf(int(a.Shape.Adjacency)-int(b.Shape.Adjacency), b.Shape.Total()-a.Shape.Total())
	},
}

// adjacencyRank puts gangs of one rack first: few places hold them.
func adjacencyRank(g *Guarantee) int {
	if g.Shape.rackBound() {
		return -1
	}
	return int(g.Shape.Adjacency)
}

func firstOf(differences ...int) int {
	for _, d := range differences {
		if d != 0 {
			return d
		}
	}
	return 0
}

type packer struct {
	workers    []Worker
	guarantees []Guarantee
	// index is the position of each worker by name.
	index map[string]int
	free  []uint32
	// racks holds the positions of the workers of each rack, racks in order of first appearance.
	racks  [][]int
	packed []PackedShape
	// partial packers go on after a failure; missing lists the failures.
	partial bool
	missing []PackError
	// boundRacks have gangs bound to them, beside those in packed, that want a spare.
	boundRacks []string
}

func newPacker(workers []Worker, guarantees []Guarantee) *packer {
	p := &packer{workers: workers, guarantees: guarantees, free: make([]uint32, len(workers)), index: make(map[string]int)}
	rackOf := make(map[string]int)
	for i := range workers {
		p.index[workers[i].Name] = i
		p.free[i] = allAccelerators(workers[i].Accelerators)
		rack, seen := rackOf[workers[i].Rack]
		if !seen {
			rack = len(p.racks)
			rackOf[workers[i].Rack] = rack
			p.racks = append(p.racks, nil)
		}
		p.racks[rack] = append(p.racks[rack], i)
	}
	return p
}

// pack places the guarantees that want a spare, then the spare workers, then the others.
func (p *packer) pack(order packOrder) *PackError {
	positions := make([]int, len(p.guarantees))
	for i := range positions {
		positions[i] = i
	}
	slices.SortStableFunc(positions, func(a, b int) int {
		return order(&p.guarantees[a], &p.guarantees[b])
	})
	if failure := p.packAll(positions, true); failure != nil {
		return failure
	}
	if failure := p.reserveSpares(); failure != nil {
		if !p.partial {
			return failure
		}
		p.missing = append(p.missing, *failure)
	}
	return p.packAll(positions, false)
}

func (p *packer) packAll(positions []int, spare bool) *PackError {
	for _, position := range positions {
		g := &p.guarantees[position]
		if g.Spare != spare {
			continue
		}
		for done := range g.Count {
			members := p.place(g.Shape)
			if members == nil {
				failure := PackError{Account: g.Account, Shape: g.Shape, Fitting: done, Count: g.Count}
				if !p.partial {
					return &failure
				}
				p.missing = append(p.missing, failure)
				break
			}
			p.packed = append(p.packed, PackedShape{Guarantee: position, Members: members})
		}
	}
	return nil
}

// place takes the cells of one shape, nil when it fits nowhere.
func (p *packer) place(shape Shape) []Member {
	class := classOf(shape.Accelerators)
	if shape.Members == 1 || shape.Adjacency == SameDataCentre {
		return p.takeFrom(nil, shape.Members, class)
	}
	if shape.Adjacency == SameWorker {
		return p.placeInWorker(shape.Members, class)
	}
	best, bestCells := -1, 0
	for rack, workers := range p.racks {
		cells := 0
		for _, w := range workers {
			cells += countCells(p.free[w], class)
		}
		if cells >= shape.Members && (best < 0 || cells < bestCells) {
			best, bestCells = rack, cells
		}
	}
	if best < 0 {
		return nil
	}
	return p.takeFrom(p.racks[best], shape.Members, class)
}

func (p *packer) placeInWorker(members, class int) []Member {
	best, bestFree := -1, 0
	for w := range p.free {
		free := bits.OnesCount32(p.free[w])
		if countCells(p.free[w], class) >= members && (best < 0 || free < bestFree) {
			best, bestFree = w, free
		}
	}
	if best < 0 {
		return nil
	}
	return p.takeFrom([]int{best}, members, class)
}

// takeFrom takes cells of the workers, of all when nil, the tightest first; nil when there are too few.
func (p *packer) takeFrom(workers []int, members, class int) []Member {
	taken := make([]Member, 0, members)
	for larger := class; larger < sizeClasses && len(taken) < members; larger++ {
		if workers == nil {
			for w := range p.free {
				taken = p.takeOfClass(taken, w, members, class, larger)
			}
			continue
		}
		for _, w := range workers {
			taken = p.takeOfClass(taken, w, members, class, larger)
		}
	}
	if len(taken) == members {
		return taken
	}
	for _, m := range taken {
		p.free[p.position(m.Worker)] |= m.Mask
	}
	return nil
}

func (p *packer) takeOfClass(taken []Member, w, members, class, largest int) []Member {
	if largestClass(p.free[w]) != largest {
		return taken
	}
	for len(taken) < members {
		mask := takeCell(p.free[w], class)
		if mask == 0 {
			break
		}
		p.free[w] &^= mask
		taken = append(taken, Member{Worker: p.workers[w].Name, Mask: mask})
	}
	return taken
}

func (p *packer) position(name string) int {
	return p.index[name]
}

// reserveSpares sets a whole worker aside in every rack with a gang bound to it, or else one anywhere.
func (p *packer) reserveSpares() *PackError {
	var reserved bool
	for _, rack := range p.racks {
		g := p.rackBoundIn(rack)
		if g == nil {
			continue
		}
		if !p.reserve(rack) {
			return spareError(g)
		}
		reserved = true
	}
	wanted := slices.IndexFunc(p.guarantees, func(g Guarantee) bool { return g.Spare })
	if reserved || wanted < 0 {
		return nil
	}
	all := make([]int, len(p.workers))
	for i := range all {
		all[i] = i
	}
	if !p.reserve(all) {
		return spareError(&p.guarantees[wanted])
	}
	return nil
}

func spareError(g *Guarantee) *PackError {
	return &PackError{Account: g.Account, Shape: g.Shape, Fitting: g.Count, Count: g.Count, SpareMissing: true}
}

// rackBoundIn returns a guarantee with a spare that is bound to the rack, nil when there is none.
func (p *packer) rackBoundIn(rack []int) *Guarantee {
	for i := range p.guarantees {
		g := &p.guarantees[i]
		if g.Spare && g.Shape.rackBound() && slices.Contains(p.boundRacks, p.workers[rack[0]].Rack) {
			return g
		}
	}
	for i := range p.packed {
		if p.packed[i].Guarantee < 0 {
			continue
		}
		g := &p.guarantees[p.packed[i].Guarantee]
		if g.Shape.rackBound() && slices.Contains(rack, p.position(p.packed[i].Members[0].Worker)) {
			return g
		}
	}
	return nil
}

// reserve takes a free worker as wide as the widest of the workers.
func (p *packer) reserve(workers []int) bool {
	widest := 0
	for _, w := range workers {
		widest = max(widest, p.workers[w].Accelerators)
	}
	for _, w := range slices.Backward(workers) {
		all := allAccelerators(p.workers[w].Accelerators)
		if p.workers[w].Accelerators == widest && p.free[w] == all {
			p.free[w] = 0
			p.packed = append(p.packed, PackedShape{Guarantee: -1, Members: []Member{{Worker: p.workers[w].Name, Mask: all}}})
			return true
		}
	}
	return false
}

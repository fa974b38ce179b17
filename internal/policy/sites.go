package policy

import (
	"cmp"
	"slices"
)

// Site is a data centre with its workers.
type Site struct {
	DataCentre string
	Workers    []Worker
}

// SitedGuarantee is a guarantee with the data centre that holds it.
type SitedGuarantee struct {
	DataCentre string
	Guarantee
}

// ChooseDataCentres gives every open guarantee a data centre beside those that are fixed: the one that has the most
// accelerators left to guarantee, the largest guarantees first. A guarantee that no data centre holds whole is
// divided. The result has the fixed guarantees first, then the open ones in their order. It returns a *PackError
// when a fixed guarantee does not pack, or an open one fits nowhere beside the others, and an error that wraps
// ErrShape for a wrong shape.
func ChooseDataCentres(sites []Site, fixed []SitedGuarantee, open []Guarantee) ([]SitedGuarantee, error) {
	if err := checkShapes(open); err != nil {
		return nil, err
	}
	c := chooser{sites: sites, held: make([][]Guarantee, len(sites))}
	for _, f := range fixed {
		at := slices.IndexFunc(sites, func(s Site) bool { return s.DataCentre == f.DataCentre })
		if at < 0 {
			return nil, &PackError{Account: f.Account, Shape: f.Shape, Count: f.Count}
		}
		c.held[at] = append(c.held[at], f.Guarantee)
	}
	for at, site := range sites {
		if _, err := PackGuarantees(site.Workers, c.held[at]); err != nil {
			return nil, err
		}
	}
	chosen := make([][]SitedGuarantee, len(open))
	for _, position := range largestFirst(open) {
		sited, err := c.choose(open[position])
		if err != nil {
			return nil, err
		}
		chosen[position] = sited
	}
	return append(slices.Clone(fixed), slices.Concat(chosen...)...), nil
}

func largestFirst(guarantees []Guarantee) []int {
	positions := make([]int, len(guarantees))
	for i := range positions {
		positions[i] = i
	}
	slices.SortStableFunc(positions, func(a, b int) int {
		return cmp.Compare(guarantees[b].Shape.Total(), guarantees[a].Shape.Total())
	})
	return positions
}

type chooser struct {
	sites []Site
	held  [][]Guarantee
}

// choose finds one data centre for the guarantee, or several that hold parts of it.
func (c *chooser) choose(g Guarantee) ([]SitedGuarantee, error) {
	for _, at := range c.roomiest() {
		if c.fits(at, g) {
			return []SitedGuarantee{c.hold(at, g)}, nil
		}
	}
	var parts []SitedGuarantee
	left := g.Count
	for _, at := range c.roomiest() {
		part := g
		part.Count = c.most(at, g, left)
		if part.Count > 0 {
			parts = append(parts, c.hold(at, part))
			left -= part.Count
		}
	}
	if left > 0 {
		return nil, &PackError{Account: g.Account, Shape: g.Shape, Fitting: g.Count - left, Count: g.Count}
	}
	return parts, nil
}

// roomiest returns the positions of the sites, the one with the most accelerators left first.
func (c *chooser) roomiest() []int {
	left := make([]int, len(c.sites))
	order := make([]int, len(c.sites))
	for at, site := range c.sites {
		order[at] = at
		for _, w := range site.Workers {
			left[at] += w.Accelerators
		}
		for _, g := range c.held[at] {
			left[at] -= g.Shape.Total() * g.Count
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(left[b], left[a]) })
	return order
}

func (c *chooser) fits(at int, g Guarantee) bool {
	_, err := PackGuarantees(c.sites[at].Workers, append(slices.Clone(c.held[at]), g))
	return err == nil
}

// most returns the largest count, at most limit, of the guarantee that fits at the site.
func (c *chooser) most(at int, g Guarantee, limit int) int {
	low, high := 0, limit
	for low < high {
		g.Count = (low + high + 1) / 2
		if c.fits(at, g) {
			low = g.Count
		} else {
			high = g.Count - 1
		}
	}
	return low
}

func (c *chooser) hold(at int, g Guarantee) SitedGuarantee {
	c.held[at] = append(c.held[at], g)
	return SitedGuarantee{DataCentre: c.sites[at].DataCentre, Guarantee: g}
}

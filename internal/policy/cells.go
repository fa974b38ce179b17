package policy

import "math/bits"

// A cell is an aligned group of 1, 2, 4 or 8 accelerators of one worker. A larger cell consists of two buddies
// of half its size. Sets of accelerators of a worker are bit masks.

// largestCell is the size of the largest cell, accelerators.
const largestCell = 8

// cellSizes are the sizes of cells, rising; the position is the size class.
var cellSizes = [...]int{1, 2, 4, largestCell}

const sizeClasses = len(cellSizes)

// classOf returns the size class of the smallest cell with at least size accelerators.
func classOf(size int) int {
	if size <= 1 {
		return 0
	}
	return bits.Len(uint(size - 1))
}

// firstBits returns, for every aligned cell of the class within the mask, the bit of its first accelerator.
func firstBits(mask uint32, class int) uint32 {
	if class >= 1 {
		mask &= mask >> 1 & 0x55555555
	}
	if class >= 2 {
		mask &= mask >> 2 & 0x11111111
	}
	if class >= 3 {
		mask &= mask >> 4 & 0x01010101
	}
	return mask
}

// cellMask returns the mask of the cell of the class that starts at the accelerator.
func cellMask(first, class int) uint32 {
	return (1<<cellSizes[class] - 1) << first
}

// enclosing returns the cell of the class that contains the accelerator.
func enclosing(accelerator, class int) uint32 {
	return cellMask(accelerator&^(cellSizes[class]-1), class)
}

// countCells returns the number of cells of the class within the mask.
func countCells(mask uint32, class int) int {
	return bits.OnesCount32(firstBits(mask, class))
}

// holes returns the accelerators of the mask that lie in cells of the class which are free as a whole while the next
// larger cell around them is not.
func holes(mask uint32, class int) uint32 {
	whole := wholeCells(mask, class)
	if class == sizeClasses-1 {
		return whole
	}
	return whole &^ wholeCells(mask, class+1)
}

// wholeCells returns the accelerators of the mask that lie in whole cells of the class.
func wholeCells(mask uint32, class int) uint32 {
	return firstBits(mask, class) * (1<<cellSizes[class] - 1)
}

// largestClass returns the class of the largest cell within the mask, -1 for an empty mask.
func largestClass(mask uint32) int {
	for class := sizeClasses - 1; class >= 0; class-- {
		if firstBits(mask, class) != 0 {
			return class
		}
	}
	return -1
}

// takeCell returns the cell of the class within the mask that breaks the smallest larger cell, 0 when there is none.
func takeCell(mask uint32, class int) uint32 {
	first := firstBits(mask, class)
	if first == 0 {
		return 0
	}
	for larger := class + 1; larger < sizeClasses; larger++ {
		if whole := firstBits(mask, larger) * (1<<cellSizes[larger] - 1); first&^whole != 0 {
			first &^= whole
			break
		}
	}
	return cellMask(bits.TrailingZeros32(first), class)
}

// brokenBy returns the accelerators by which the largest cell around the taken one shrinks: 0 for a cell that was
// itself the largest free one around.
func brokenBy(mask, taken uint32) int {
	first := bits.TrailingZeros32(taken)
	size := bits.OnesCount32(taken)
	for class := sizeClasses - 1; class >= 0; class-- {
		whole := enclosing(first, class)
		if whole&^mask == 0 {
			return max(cellSizes[class]-size, 0)
		}
	}
	return 0
}

// allAccelerators returns the mask of a worker's accelerators.
func allAccelerators(count int) uint32 {
	if count >= 32 {
		return ^uint32(0)
	}
	return 1<<count - 1
}

// Package taskset computes the digest by which an owner and a worker compare the tasks that they
// believe are held, without listing them.
package taskset

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// numbersBytes is the size of the run, member and attempt numbers in the hashed form of a task.
const numbersBytes = 16

// Hash returns the XXH64 of one task.
func Hash(task *apiv1.TaskId) uint64 {
	var numbers [numbersBytes]byte
	binary.LittleEndian.PutUint32(numbers[:4], task.GetRun())
	binary.LittleEndian.PutUint32(numbers[4:], task.GetMember())
	binary.LittleEndian.PutUint64(numbers[8:], task.GetAttempt())

	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(numbers[:])
	_, _ = digest.WriteString(task.GetJob())
	return digest.Sum64()
}

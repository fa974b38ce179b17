package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// changeFaults are injected with --changes, beside the others and one at a time, so that the others keep their order.
var changeFaults = []fault{
	{"settings change", changeSettings},
	{"worker returns as another kind", changeKind},
}

// stopDurations are values of a bound: whole numbers, fractions, and some that can't be used.
var stopDurations = []string{"400", "400.0", "412.5", "true", "-1", "400,5"}

// changeSettings gives each settings file another value of a bound and sends SIGHUP. The values take effect at the next starts.
func changeSettings(s *soak, random *rand.Rand) {
	value := stopDurations[random.IntN(len(stopDurations))]
	s.processMu.Lock()
	defer s.processMu.Unlock()
	for _, inst := range s.instances {
		text, err := os.ReadFile(inst.settingsPath)
		if err == nil {
			text = bytes.Replace(text, []byte("StopMs = "+inst.stopMs), []byte("StopMs = "+value), 1)
			err = os.WriteFile(inst.settingsPath, text, 0o600)
		}
		s.properties.check("settings files can be written", err == nil, "%v", err)
		inst.stopMs = value
		err = inst.hangUp()
		s.properties.check("a process runs on after SIGHUP", err == nil, "%v", err)
	}
}

// changeKind crashes a worker, which returns with fewer accelerators and another label, and then again, so that it returns as it was.
func changeKind(s *soak, random *rand.Rand) {
	id := s.randomWorker(random)
	for _, accelerators := range []uint32{shrunkAccelerators, allAccelerators} {
		s.platform.Workers.ChangeOnReturn(s.currentID(id), func(entry *worker.RegistryEntry) {
			entry.Capacity = &storev1.Resources{
				CpuMillicores: entry.Capacity.GetCpuMillicores(), MemoryMb: entry.Capacity.GetMemoryMb(), Accelerators: accelerators,
			}
			entry.Labels = []string{fmt.Sprintf("with-%d", accelerators), entry.Rack}
		})
		s.platform.Workers.Crash(s.currentID(id))
		time.Sleep(mock.CrashDuration + time.Second + randomDuration(random, 5*time.Second))
	}
}

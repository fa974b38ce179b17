package policy

import "time"

// Weights are the prices that placement and order compare. All are relative to each other.
type Weights struct {
	// Speed is the price of running a gang slower than the fastest worker could, for each part in a thousand lost.
	Speed int64
	// Fragmentation is the price of every accelerator of a larger free cell that a placement breaks.
	Fragmentation int64
	// ShortFirst multiplies the expected run time in the order of waiting jobs: the larger, the more short jobs go
	// first.
	ShortFirst int64
}

// Bounds limit how far the scheduler goes.
type Bounds struct {
	// PreemptWithinMillis is given to a victim to write its checkpoint and stop.
	PreemptWithinMillis int64
	// MovesPerHour bounds the gangs moved by defragmentation.
	MovesPerHour int
	// MergeHoles lets single gangs be moved to make free cells whole, beside the moves for the first waiting job.
	MergeHoles bool
	// BackfillDelayMillis bounds how long backfilled gangs can delay the gang that holds the reservation.
	BackfillDelayMillis int64
	// RestartGraceMillis is how long a restarted victim is spared while another victim will do.
	RestartGraceMillis int64
	// AgeingMillis is the longest time by which a job's class and run time put it behind a later one.
	AgeingMillis int64
}

// Config sets up a Scheduler.
type Config struct {
	Weights Weights
	Bounds  Bounds
}

// Names of the objective presets, as the settings give them.
const (
	PresetLounge  = "lounge"
	PresetGallery = "gallery"
)

func defaultBounds() Bounds {
	return Bounds{
		PreemptWithinMillis: (1500 * time.Millisecond).Milliseconds(),
		MovesPerHour:        12,
		BackfillDelayMillis: (5 * time.Minute).Milliseconds(),
		RestartGraceMillis:  (10 * time.Minute).Milliseconds(),
		AgeingMillis:        (24 * time.Hour).Milliseconds(),
	}
}

// LoungeConfig puts completion time first.
func LoungeConfig() Config {
	return Config{
		Weights: Weights{Speed: 8, Fragmentation: 40, ShortFirst: 12},
		Bounds:  defaultBounds(),
	}
}

// GalleryConfig puts whole free cells first.
func GalleryConfig() Config {
	bounds := defaultBounds()
	bounds.MergeHoles = true
	bounds.MovesPerHour = 60
	return Config{
		Weights: Weights{Speed: 1, Fragmentation: 400, ShortFirst: 6},
		Bounds:  bounds,
	}
}

// Preset returns the configuration of the named objective; ok is false when there is none of that name.
func Preset(name string) (config Config, ok bool) {
	switch name {
	case PresetLounge:
		return LoungeConfig(), true
	case PresetGallery:
		return GalleryConfig(), true
	default:
		return Config{}, false
	}
}

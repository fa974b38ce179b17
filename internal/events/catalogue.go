package events

import "github.com/charmbracelet/log"

// Actions that several events share.
const (
	actionNone      = "nothing"
	actionStore     = "look at the platform's store; the instance goes on by itself"
	actionWorker    = "look at the worker named in the line"
	actionInstances = "look at the instances named in the line"
)

// Events of the process: 1xx.
var (
	InstanceStarted  = Event{101, log.InfoLevel, "instance started", actionNone}
	InstanceReady    = Event{102, log.InfoLevel, "instance ready", actionNone}
	InstanceNotReady = Event{103, log.WarnLevel, "instance not ready", "read the reason in the line; the balancer sends nothing here"}
	DrainStarted     = Event{104, log.InfoLevel, "drain started", actionNone}
	DrainEnded       = Event{105, log.InfoLevel, "drain ended", actionNone}
	DrainCutShort    = Event{106, log.ErrorLevel, "drain cut short", "read in the line what was left; a call took longer than the grace time leaves"}
	LinesDropped     = Event{109, log.WarnLevel, "log lines dropped", "look at what reads the log, or at the lines before for what repeats"}
	SettingsReloaded = Event{108, log.InfoLevel, "settings read again", "correct the file if the line names an error"}
	InstanceFailed   = Event{107, log.ErrorLevel, "instance failed", "read the reason in the line; the platform replaces the instance"}
)

// Events of the store: 2xx.
var (
	StoreUnreachable = Event{201, log.WarnLevel, "store unreachable", actionStore}
	StoreReachable   = Event{202, log.InfoLevel, "store reached", actionNone}
	RecordNotDecoded = Event{205, log.ErrorLevel, "record not understood", "replace the instance by one of the newest version"}
)

// Events of ownership: 3xx.
var (
	OwnershipAcquired = Event{303, log.InfoLevel, "ownership taken", actionNone}
	OwnershipLost     = Event{304, log.WarnLevel, "ownership lost", actionInstances}
	OwnershipReleased = Event{305, log.InfoLevel, "ownership released", actionNone}
	TakeoverRefused   = Event{307, log.InfoLevel, "takeover refused", actionNone}
)

// Events of configuration and jobs: 4xx.
var (
	ConfigurationApplied  = Event{401, log.InfoLevel, "configuration in force", actionNone}
	ConfigurationRejected = Event{402, log.WarnLevel, "configuration or wave rejected", "read the reason in the line and write it again"}
	JobPlaced             = Event{404, log.InfoLevel, "job placed", actionNone}
	JobFinished           = Event{405, log.InfoLevel, "run ended", actionNone}
	JobPreempted          = Event{406, log.InfoLevel, "job preempted", actionNone}
	WorkerQuarantined     = Event{407, log.WarnLevel, "worker quarantined", actionWorker}
	WorkerRecovered       = Event{408, log.InfoLevel, "worker returned", actionNone}
	WorkerLost            = Event{409, log.WarnLevel, "worker lost", actionWorker}
	StartRefused          = Event{412, log.InfoLevel, "start refused", "nothing; the job waits again"}
	WorkerUnresponsive    = Event{414, log.WarnLevel, "worker silent", actionWorker}
	TaskFinished          = Event{415, log.InfoLevel, "task ended", actionNone}
	AdviceReceived        = Event{416, log.InfoLevel, "advice taken", actionNone}
	UpkeepOrdered         = Event{417, log.InfoLevel, "upkeep ordered", "nothing; an order that failed is repeated"}
	WaveStateChanged      = Event{418, log.InfoLevel, "state of a wave of upkeep", actionNone}
	MachinesUnreachable   = Event{419, log.WarnLevel, "machines unreachable", "look at the platform's service for machines"}
)

// Events of calls: 5xx.
var (
	CallerRefused  = Event{503, log.WarnLevel, "caller refused", "check the key, host and path that the caller sends against the configuration"}
	ListenerFailed = Event{504, log.ErrorLevel, "listener failed", "check the address in the settings"}
	CallAnswered   = Event{505, log.InfoLevel, "call answered", actionNone}
)

// Catalogue returns every event in the order of its number.
func Catalogue() []Event {
	return []Event{
		InstanceStarted, InstanceReady, InstanceNotReady, DrainStarted, DrainEnded, DrainCutShort, InstanceFailed, SettingsReloaded, LinesDropped,
		StoreUnreachable, StoreReachable, RecordNotDecoded,
		OwnershipAcquired, OwnershipLost, OwnershipReleased, TakeoverRefused,
		ConfigurationApplied, ConfigurationRejected, JobPlaced, JobFinished, JobPreempted, WorkerQuarantined,
		WorkerRecovered, WorkerLost,
		StartRefused, WorkerUnresponsive, TaskFinished, AdviceReceived,
		UpkeepOrdered, WaveStateChanged, MachinesUnreachable,
		CallerRefused, ListenerFailed, CallAnswered,
	}
}

package events

import "github.com/charmbracelet/log"

// Operator actions shared by several events.
const (
	actionNone      = "nothing"
	actionStore     = "check the platform's store; the instance recovers without intervention"
	actionWorker    = "check the worker named in the line"
	actionInstances = "check the instances named in the line"
)

// Events of the process: 1xx.
var (
	InstanceStarted  = Event{101, log.InfoLevel, "instance started", actionNone}
	InstanceReady    = Event{102, log.InfoLevel, "instance ready", actionNone}
	InstanceNotReady = Event{103, log.WarnLevel, "instance not ready",
		"read the reason in the line; the load balancer sends no calls to this instance"}
	DrainStarted  = Event{104, log.InfoLevel, "drain started", actionNone}
	DrainEnded    = Event{105, log.InfoLevel, "drain ended", actionNone}
	DrainCutShort = Event{106, log.ErrorLevel, "drain cut short",
		"read the address in the line; a call there took longer than the grace period allows"}
	LinesDropped = Event{109, log.WarnLevel, "log lines dropped",
		"check the reader of the log, or the preceding lines for a repeated event"}
	SettingsChecked  = Event{108, log.InfoLevel, "settings file checked", "correct the file if the line names an error"}
	SettingNotUsable = Event{110, log.WarnLevel, "setting is not usable",
		"correct the setting named in the line; the instance works with the value in the line"}
	InstanceFailed = Event{107, log.ErrorLevel, "instance failed",
		"read the reason in the line; the platform replaces the instance"}
)

// Events of the store: 2xx.
var (
	StoreUnreachable = Event{201, log.WarnLevel, "store unreachable", actionStore}
	StoreReachable   = Event{202, log.InfoLevel, "store reachable", actionNone}
	RecordNotDecoded = Event{205, log.ErrorLevel, "record could not be decoded",
		"replace the instance by one of the latest version"}
)

// Events of ownership: 3xx.
var (
	OwnershipAcquired = Event{303, log.InfoLevel, "ownership acquired", actionNone}
	OwnershipLost     = Event{304, log.WarnLevel, "ownership lost", actionInstances}
	OwnershipReleased = Event{305, log.InfoLevel, "ownership released", actionNone}
	OwnerPaused       = Event{308, log.WarnLevel, "owner was paused",
		"check the load of the machine if the line repeats; the owner confirms its ownership before it goes on"}
	OwnerIsolated = Event{310, log.WarnLevel, "isolation of the owner began or ended",
		"check the network of the instance; while it is isolated it renews no leases, and another instance may be the owner"}
	OwnerFailed = Event{309, log.ErrorLevel, "owner failed",
		"report the stack in the line to the developers; another instance becomes the owner"}
	JobsRestored    = Event{311, log.InfoLevel, "jobs restored", actionNone}
	TakeoverRefused = Event{307, log.InfoLevel, "takeover refused", actionNone}
)

// Events of configuration and jobs: 4xx.
var (
	ConfigurationApplied  = Event{401, log.InfoLevel, "configuration applied", actionNone}
	ConfigurationRejected = Event{402, log.WarnLevel, "configuration or wave rejected",
		"correct the error named in the line and write it again"}
	JobPlaced           = Event{404, log.InfoLevel, "job placed", actionNone}
	JobFinished         = Event{405, log.InfoLevel, "job finished", actionNone}
	JobPreempted        = Event{406, log.InfoLevel, "job preempted", actionNone}
	WorkerQuarantined   = Event{407, log.WarnLevel, "worker quarantined", actionWorker}
	WorkerRecovered     = Event{408, log.InfoLevel, "worker recovered", actionNone}
	WorkerLost          = Event{409, log.WarnLevel, "worker lost", actionWorker}
	StartRefused        = Event{412, log.InfoLevel, "start refused", "nothing; the task returns to the queue"}
	WorkerUnresponsive  = Event{414, log.WarnLevel, "worker unresponsive", actionWorker}
	TaskFinished        = Event{415, log.InfoLevel, "task finished", actionNone}
	AdviceReceived      = Event{416, log.InfoLevel, "advice received", actionNone}
	UpkeepOrdered       = Event{417, log.InfoLevel, "upkeep ordered", "nothing; a failed order is repeated"}
	WaveStateChanged    = Event{418, log.InfoLevel, "state of a wave of upkeep changed", actionNone}
	MachinesUnreachable = Event{419, log.WarnLevel, "machines unreachable", "check the platform's machine service"}
	JobQueued           = Event{420, log.InfoLevel, "job queued", actionNone}
	StepWaiting         = Event{421, log.InfoLevel, "step waiting", "read the reason in the line if jobs of its queue are late"}
	WorkerCrashed       = Event{423, log.WarnLevel, "worker crashed under a task",
		"check the program of the job if its task crashes several workers; the job is given up then"}
	EvacuationChanged = Event{427, log.InfoLevel, "evacuation of a data centre requested or ended", actionNone}
	DataCentreState   = Event{431, log.InfoLevel, "state of a data centre changed", actionNone}
	UnknownDataCentre = Event{432, log.WarnLevel, "evacuation of an unknown data centre",
		"compare the name with the known ones in the line, and request the evacuation of one of these"}
	CrashWithdrawn      = Event{426, log.InfoLevel, "crash withdrawn", "nothing; the worker was only silent"}
	ReportsAcknowledged = Event{428, log.InfoLevel, "reports acknowledged", actionNone}
	WorkerIgnoresOrders = Event{425, log.WarnLevel, "worker ignores orders", actionWorker}
	CrashesCleared      = Event{429, log.InfoLevel, "crashes under a task cleared", "nothing; the task has lasted"}
	LeaseFinal          = Event{430, log.WarnLevel, "lease of a silent worker is final", actionWorker}
	ProbationPassed     = Event{424, log.InfoLevel, "task on probation lasted", actionNone}
	WorkerRestarted     = Event{433, log.InfoLevel, "worker started again",
		"nothing; it gets tasks once its registry entry is read, check the worker if the line says stale and no later one follows"}
	ShortageChanged = Event{440, log.InfoLevel, "shortage of workers began or ended",
		"add workers if the line repeats; the metrics page has the accounts' shares"}
	DurationsRestored = Event{441, log.InfoLevel, "durations of tasks restored", actionNone}
	DurationsIgnored  = Event{442, log.WarnLevel, "recorded durations of tasks ignored",
		"nothing; durations are learned anew, which takes some twenty jobs of a queue"}
	DurationsLearned = Event{443, log.InfoLevel, "predicted durations of a queue come into use or go out of use",
		"nothing; ask the callers of the queue for better estimates if the factor of the declared ones is high"}
	PoolState = Event{422, log.InfoLevel, "state of a service's workers", "add workers if jobs wait and none are free"}
)

// Events of calls: 5xx.
var (
	CallRejected = Event{503, log.WarnLevel, "call rejected",
		"compare the key, host and path of the call with the configuration"}
	ListenerFailed = Event{504, log.ErrorLevel, "listener failed", "check the address in the settings"}
	CallAnswered   = Event{505, log.InfoLevel, "call answered", actionNone}
)

// Events of peers: 6xx.
var (
	CallForwarded = Event{601, log.InfoLevel, "call forwarded", actionNone}
	PeerLeftOut   = Event{602, log.InfoLevel, "peer left out",
		"check the instance named in the line and the network between the instances if the line repeats while nothing else fails"}
	NoPeerReachesStore = Event{603, log.WarnLevel, "no peer reaches the store", actionStore}
	PeersNotServed     = Event{604, log.ErrorLevel, "calls are not forwarded",
		"correct the error named in the line and restart the instance; it works without forwarding"}
	PeerKeyReplaced = Event{605, log.InfoLevel, "key for peers replaced", "nothing; if the line names an error, the former key stays in use"}
)

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	return []Event{
		InstanceStarted, InstanceReady, InstanceNotReady, DrainStarted, DrainEnded, DrainCutShort,
		InstanceFailed, SettingsChecked, LinesDropped, SettingNotUsable,
		StoreUnreachable, StoreReachable, RecordNotDecoded,
		OwnershipAcquired, OwnershipLost, OwnershipReleased, TakeoverRefused, OwnerPaused, OwnerFailed, OwnerIsolated, JobsRestored,
		ConfigurationApplied, ConfigurationRejected, JobPlaced, JobFinished, JobPreempted, WorkerQuarantined,
		WorkerRecovered, WorkerLost,
		StartRefused, WorkerUnresponsive, TaskFinished, AdviceReceived,
		UpkeepOrdered, WaveStateChanged, MachinesUnreachable, JobQueued, StepWaiting, PoolState, WorkerCrashed, ProbationPassed,
		WorkerIgnoresOrders, CrashWithdrawn, EvacuationChanged, ReportsAcknowledged, CrashesCleared, LeaseFinal,
		DataCentreState, UnknownDataCentre, WorkerRestarted,
		ShortageChanged, DurationsRestored, DurationsIgnored, DurationsLearned,
		CallRejected, ListenerFailed, CallAnswered,
		CallForwarded, PeerLeftOut, NoPeerReachesStore, PeersNotServed, PeerKeyReplaced,
	}
}

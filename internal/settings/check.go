package settings

import (
	"fmt"
	"net/netip"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Presets of the objective.
const (
	// PresetLounge puts completion time first.
	PresetLounge = "lounge"
	// PresetGallery puts fragmentation first.
	PresetGallery = "gallery"
)

// Defaults of settings that may be left out.
const (
	defaultWeight           = 100
	defaultQueuedRequests   = 512
	defaultPayloadBytes     = 256 << 10
	defaultAppendsPerSecond = 100
	defaultRetryPercent     = 10
	defaultDrainMillis      = 20_000
	defaultTermMillis       = 15_000
)

// Bounds of settings.
const (
	maxWeight          = 1000
	maxQueuedRequests  = 100_000
	minPayloadBytes    = 1 << 10
	maxPayloadBytes    = 4 << 20
	maxAppends         = 1000
	maxRetryPercent    = 100
	minTermMillis      = 1000
	maxTermMillis      = 60_000
	minDrainMillis     = 1000
	maxDrainMillis     = 600_000
	minSecretLength    = 16
	remedyAddress      = "write IP:port, such as 127.0.0.1:7000"
	remedySecretLength = "use at least 16 characters"
)

func applyDefaults(settings *apiv1.Settings) {
	if settings.Weight == 0 {
		settings.Weight = defaultWeight
	}
	if settings.Limits == nil {
		settings.Limits = &apiv1.LimitSettings{}
	}
	limits := settings.Limits
	setDefault(&limits.QueuedRequests, defaultQueuedRequests)
	setDefault(&limits.PayloadBytes, defaultPayloadBytes)
	setDefault(&limits.FleetAppendsPerSecond, defaultAppendsPerSecond)
	setDefault(&limits.RetryPercent, defaultRetryPercent)
	setDefault(&limits.DrainMs, defaultDrainMillis)
	if settings.Leases == nil {
		settings.Leases = &apiv1.LeaseSettings{}
	}
	setDefault(&settings.Leases.TermMs, defaultTermMillis)
	if settings.Objective == nil {
		settings.Objective = &apiv1.ObjectiveSettings{Preset: PresetLounge}
	}
}

func setDefault[T uint32 | int64](value *T, preset T) {
	if *value == 0 {
		*value = preset
	}
}

// checker collects problems.
type checker struct {
	problems []Problem
}

func (c *checker) add(key, reason, remedy string) {
	c.problems = append(c.problems, Problem{Key: key, Reason: reason, Remedy: remedy})
}

func (c *checker) text(key, value string) {
	if value == "" {
		c.add(key, "missing", "set it to a text that is not empty")
	}
}

func (c *checker) address(key, value string) {
	if value == "" {
		c.add(key, "missing", remedyAddress)
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, fmt.Sprintf("%q is not an address", value), remedyAddress)
	}
}

func (c *checker) between(key string, value, low, high int64) {
	if value < low || value > high {
		c.add(key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use %d to %d", low, high))
	}
}

func (c *checker) secret(key, value string) {
	if len(value) < minSecretLength {
		c.add(key, "missing or too short", remedySecretLength)
	}
}

func check(settings *apiv1.Settings) []Problem {
	c := &checker{}
	c.text("name", settings.Name)
	c.text("data_centre", settings.DataCentre)
	c.between("weight", int64(settings.Weight), 1, maxWeight)
	c.addresses(settings)
	c.limits(settings.Limits)
	c.between("leases.term_ms", settings.Leases.TermMs, minTermMillis, maxTermMillis)
	if preset := settings.Objective.GetPreset(); preset != PresetLounge && preset != PresetGallery {
		c.add("objective.preset", fmt.Sprintf("%q is not a preset", preset), "use \"lounge\" or \"gallery\"")
	}
	c.callers(settings)
	return c.problems
}

func (c *checker) addresses(settings *apiv1.Settings) {
	addresses := settings.GetAddresses()
	c.address("addresses.callers", addresses.GetCallers())
	c.address("addresses.operators", addresses.GetOperators())
	c.address("addresses.peers", addresses.GetPeers())
	if addresses.GetCallers() != "" && addresses.GetCallers() == addresses.GetOperators() {
		c.add("addresses.operators", "the same as addresses.callers", "give operators an address of their own")
	}
	c.address("platform.log", settings.GetPlatform().GetLog())
	c.address("platform.instance_list", settings.GetPlatform().GetInstanceList())
	for i, seed := range settings.GetPeers().GetSeeds() {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	c.secret("peers.secret", settings.GetPeers().GetSecret())
	c.secret("operator.token", settings.GetOperator().GetToken())
}

func (c *checker) limits(limits *apiv1.LimitSettings) {
	c.between("limits.queued_requests", int64(limits.QueuedRequests), 1, maxQueuedRequests)
	c.between("limits.payload_bytes", int64(limits.PayloadBytes), minPayloadBytes, maxPayloadBytes)
	c.between("limits.fleet_appends_per_second", int64(limits.FleetAppendsPerSecond), 1, maxAppends)
	c.between("limits.retry_percent", int64(limits.RetryPercent), 1, maxRetryPercent)
	c.between("limits.drain_ms", limits.DrainMs, minDrainMillis, maxDrainMillis)
}

func (c *checker) callers(settings *apiv1.Settings) {
	if len(settings.Callers) == 0 {
		c.add("callers", "missing", "add a [[callers]] table with account and token for each client account")
	}
	owners := make(map[string]string)
	for i, caller := range settings.Callers {
		key := fmt.Sprintf("callers[%d]", i)
		c.text(key+".account", caller.Account)
		c.secret(key+".token", caller.Token)
		if other, taken := owners[caller.Token]; taken && other != caller.Account {
			c.add(key+".token", "used by account "+other+" as well", "give each account a token of its own")
		}
		owners[caller.Token] = caller.Account
		if caller.Token != "" && caller.Token == settings.GetOperator().GetToken() {
			c.add(key+".token", "the same as operator.token", "give callers and operators different tokens")
		}
	}
}

package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
)

// statusCommand shows the status of an instance.
type statusCommand struct {
	instanceFlags
	Workers bool `help:"List usable workers too; by default only workers in other states are listed."`
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context) error {
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	fmt.Printf("%s in %s  ready %t  configuration %d (%d queues, %d accounts)  last answer of the store %d ms ago\n",
		status.GetInstance(), status.GetDataCentre(), status.GetReady(), status.GetConfigurationVersion(), status.GetQueues(),
		status.GetAccounts(), status.GetStoreAnsweredMsAgo())
	fmt.Printf("owner: %s, epoch %d", status.GetOwner(), status.GetOwnerEpoch())
	if status.GetOwnedEpoch() > 0 {
		fmt.Print(" (this instance)")
	}
	fmt.Println()
	for _, state := range slices.Sorted(maps.Keys(status.GetJobs())) {
		fmt.Printf("jobs %s: %d\n", state, status.GetJobs()[state])
	}
	for _, dataCentre := range status.GetDataCentres() {
		fmt.Printf("data centre %s  %s  %d tasks", dataCentre.GetName(), dataCentre.GetState(), dataCentre.GetTasks())
		if left := dataCentre.GetExpectedEmptyMs(); left > 0 {
			fmt.Printf(", expected to end within %d ms", left)
		}
		fmt.Println()
	}
	for _, queue := range status.GetDurations() {
		used := "declared estimates"
		if queue.GetLearned() {
			used = "learned durations"
		}
		fmt.Printf("queue %s: %d finished runs, usual error of estimates factor %.2f, of predictions %.2f; plans use %s\n", queue.GetQueue(),
			queue.GetFinishedRuns(), queue.GetDeclaredFactor(), queue.GetPredictedFactor(), used)
	}
	for _, worker := range status.GetWorkers() {
		if c.Workers || worker.GetState() != "usable" {
			fmt.Printf("worker %s  %s  rack %s  %s  speed %.2f  %d tasks, %d accelerators free\n", worker.GetId(), worker.GetService(),
				worker.GetRack(), worker.GetState(), worker.GetSpeed(), worker.GetTasks(), worker.GetFreeAccelerators())
		}
	}
	return nil
}

package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/workerclient"
)

// Workers returns the stand-in workers of the instance list at address (IP:port).
func Workers(ctx context.Context, address string) ([]*apiv1.Worker, error) {
	list, err := workerclient.NewInstanceList(http.DefaultTransport, address).Fetch(ctx)
	if err != nil {
		return nil, err
	}
	return list.Workers, nil
}

// Histories returns what each stand-in worker ran.
func Histories(ctx context.Context, workers []*apiv1.Worker) ([]worker.History, error) {
	var histories []worker.History
	for _, back := range workers {
		history, err := historyOf(ctx, back.Address)
		if err != nil {
			return nil, fmt.Errorf("history of %s: %w", back.Name, err)
		}
		histories = append(histories, history)
	}
	return histories, nil
}

func historyOf(ctx context.Context, address string) (worker.History, error) {
	var history worker.History
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/history", nil)
	if err != nil {
		return history, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return history, err
	}
	defer response.Body.Close()
	return history, json.NewDecoder(response.Body).Decode(&history)
}

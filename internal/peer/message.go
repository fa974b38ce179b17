package peer

import (
	"time"

	"github.com/go-faster/errors"

	peerv1 "github.com/dotterelgauge/dotterelgauge/api/peer/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

var interfaces = map[gateway.Interface]peerv1.Interface{
	gateway.PlatformInterface: peerv1.Interface_INTERFACE_PLATFORM, gateway.OwnInterface: peerv1.Interface_INTERFACE_OWN,
}

var operations = map[gateway.Operation]peerv1.Operation{
	gateway.SubmitJob: peerv1.Operation_OPERATION_SUBMIT, gateway.ShowState: peerv1.Operation_OPERATION_SHOW,
	gateway.CancelJob: peerv1.Operation_OPERATION_CANCEL,
}

var results = map[gateway.Result]peerv1.Result{
	gateway.OK: peerv1.Result_RESULT_OK, gateway.NoQueue: peerv1.Result_RESULT_NO_QUEUE, gateway.NoJob: peerv1.Result_RESULT_NO_JOB,
	gateway.Unauthorized: peerv1.Result_RESULT_UNAUTHORIZED, gateway.Invalid: peerv1.Result_RESULT_INVALID,
	gateway.TooLarge: peerv1.Result_RESULT_TOO_LARGE, gateway.NotRun: peerv1.Result_RESULT_NOT_RUN,
	gateway.Undecided: peerv1.Result_RESULT_UNDECIDED, gateway.Conflict: peerv1.Result_RESULT_CONFLICT,
	gateway.TooBusy: peerv1.Result_RESULT_TOO_BUSY,
}

// encodeCall returns the message of a request that this instance forwards.
func encodeCall(request gateway.Request, body []byte) *peerv1.Call {
	return &peerv1.Call{
		Hops: uint32(request.Hops) + 1, Interface: interfaces[request.Interface], //nolint:gosec // a small number.
		Operation: operations[request.Operation],
		Host:      request.Host, Path: request.Path, Queue: request.Queue, Id: request.ID, Key: request.Key, Body: body,
	}
}

// decodeCall returns the request of a message, without its body. An error means that the peer is of a later version.
func decodeCall(call *peerv1.Call) (gateway.Request, error) {
	request := gateway.Request{
		Call: gateway.Call{
			Host: call.GetHost(), Path: call.GetPath(), Key: call.GetKey(),
			Timeout: time.Duration(call.GetRemainingMs()) * time.Millisecond,
		},
		Queue: call.GetQueue(), ID: call.GetId(), Hops: int(call.GetHops()),
	}
	var knownInterface, knownOperation bool
	request.Interface, knownInterface = keyOf(interfaces, call.GetInterface())
	request.Operation, knownOperation = keyOf(operations, call.GetOperation())
	if !knownInterface || !knownOperation {
		return request, errors.Errorf("interface %d or operation %d is unknown: replace the instance by one of the latest version",
			call.GetInterface(), call.GetOperation())
	}
	return request, nil
}

func encodeAnswer(response gateway.Response) *peerv1.Answer {
	answer := &peerv1.Answer{
		Result: results[response.Result], Detail: response.Detail, RetryAfterMs: response.RetryAfter.Milliseconds(),
		StoreUnreachable: response.StoreUnreachable, Pending: uint32(max(0, response.Pending)), //nolint:gosec // a count.
	}
	if response.State != replica.Unknown {
		answer.State = response.State.String()
	}
	return answer
}

// decodeAnswer returns the response of a message. A result that this version doesn't know is undecided.
func decodeAnswer(answer *peerv1.Answer) gateway.Response {
	result, known := keyOf(results, answer.GetResult())
	if !known {
		result = gateway.Undecided
	}
	return gateway.Response{
		Answer: gateway.Answer{
			Result: result, Detail: answer.GetDetail(), RetryAfter: time.Duration(answer.GetRetryAfterMs()) * time.Millisecond,
		},
		State: replica.ParseState(answer.GetState()), Pending: int(answer.GetPending()),
	}
}

// keyOf returns the key of a value; false if no key has it.
func keyOf[K, V comparable](values map[K]V, wanted V) (K, bool) {
	for key, value := range values {
		if value == wanted {
			return key, true
		}
	}
	var none K
	return none, false
}

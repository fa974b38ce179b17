package gateway

import (
	"context"
	"io"
	"strconv"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Interface is the interface through which a caller sent a request.
type Interface int

// Interfaces. Requests to the platform's interface name the queue by host and path; those to the scheduler's own interface name
// the queue and the job.
const (
	PlatformInterface Interface = iota
	OwnInterface
)

// Operation is what a request asks for.
type Operation int

// Operations. ShowState returns the state of a job, or of the queue if the request names no job.
const (
	UnknownOperation Operation = iota
	SubmitJob
	ShowState
	CancelJob
)

// operationNames are the operations' names in log lines and metrics.
var operationNames = map[Operation]string{SubmitJob: "submit", ShowState: "state", CancelJob: "cancel"}

// JobDecoder decodes the body of a request to submit a job.
type JobDecoder func(raw []byte) (*storev1.Job, Answer)

// Request is a caller's request as it arrived, so that a peer can handle it in the same way.
type Request struct {
	Call
	Interface Interface
	Operation Operation
	// Queue and ID name the queue and the job of a request to OwnInterface; the ID is empty for a request to the queue itself.
	Queue, ID string
	Body      io.Reader
	Decode    JobDecoder
	// Hops is the number of instances that have forwarded the request. Only a request of 0 is forwarded.
	Hops int
}

// Response is the response to a request. Its other fields are set only if the answer is OK.
type Response struct {
	Answer
	// State is the state of the job.
	State replica.State
	// Pending is the number of the queue's jobs that have not started.
	Pending int
}

// Handle admits a request and runs it here, or has it handled by a peer if the store refuses this instance or doesn't answer it.
func (g *Gateway) Handle(ctx context.Context, request Request) Response {
	forwarding := g.newForwarding(&request)
	if !g.health.ConfigCurrent() {
		if response, done := forwarding.try(ctx, nil); done {
			return response
		}
	}
	admitted, answer := g.admitRequest(request)
	if answer.Result != OK {
		return Response{Answer: answer}
	}
	var job *storev1.Job
	if request.Operation == SubmitJob {
		if job, answer = forwarding.decode(admitted.BodyLimit); answer.Result != OK {
			return Response{Answer: answer}
		}
	}
	if forwarding.neededFor(admitted) {
		if response, done := forwarding.try(ctx, &admitted); done {
			return response
		}
	}
	admitted.elsewhere, admitted.mayBeForwarded = forwarding.submitElsewhere, forwarding.possible()
	response := g.run(ctx, request.Operation, admitted, job)
	if !response.StoreUnreachable || !admitted.mayBeForwarded {
		return response
	}
	admitted.mayBeForwarded = false
	if forwarded, done := forwarding.try(ctx, &admitted); done {
		return forwarded
	}
	response.Answer = g.recordAnswer(admitted, operationNames[request.Operation], response.Answer)
	return response
}

// admitRequest admits a request by the names that its interface uses.
func (g *Gateway) admitRequest(request Request) (AdmittedCall, Answer) {
	if request.Interface == OwnInterface {
		return g.AdmitByName(request.Queue, request.ID, request.Call)
	}
	return g.Admit(request.Call)
}

// run runs an admitted request on this instance.
func (g *Gateway) run(ctx context.Context, operation Operation, call AdmittedCall, job *storev1.Job) Response {
	switch {
	case operation == SubmitJob:
		return Response{Answer: g.Submit(ctx, call, job)}
	case operation == ShowState && call.ID == "":
		pending, answer := g.PendingJobs(call)
		return Response{Answer: answer, Pending: pending}
	case operation == ShowState:
		state, answer := g.State(ctx, call)
		return Response{Answer: answer, State: state}
	case operation == CancelJob:
		return Response{Answer: g.Cancel(ctx, call)}
	default:
		return Response{Answer: Answer{Result: Invalid, Detail: "use POST, GET or DELETE"}}
	}
}

// readBody reads a body of at most limit bytes.
func readBody(body io.Reader, limit int64) ([]byte, Answer) {
	if body == nil {
		return nil, Answer{}
	}
	raw, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, Answer{Result: Invalid, Detail: "the request body could not be read: send the complete body again"}
	}
	return raw, checkSize(raw, limit)
}

func checkSize(raw []byte, limit int64) Answer {
	if int64(len(raw)) <= limit {
		return Answer{}
	}
	return Answer{
		Result: TooLarge, Detail: "the request body is larger than " + strconv.FormatInt(limit, 10) + " bytes: send a smaller one",
	}
}

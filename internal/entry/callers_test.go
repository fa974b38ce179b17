package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/problem"
	"github.com/dotterelgauge/dotterelgauge/internal/routing"
)

const (
	tokenA   = "token-of-account-a-1"
	tokenB   = "token-of-account-b-1"
	jobOfA   = "job-of-a"
	maxBytes = 100
)

// fakeRequests answers every request with answer and keeps the last one.
type fakeRequests struct {
	answer routing.Answer
	last   routing.Request
	asked  int
}

func (f *fakeRequests) Do(_ context.Context, request routing.Request) (routing.Answer, error) {
	f.last = request
	f.asked++
	return f.answer, nil
}

// fakeJobs holds one job of account a.
type fakeJobs struct{ submitted *apiv1.JobSpec }

func (f *fakeJobs) Submit(_ context.Context, id string, spec *apiv1.JobSpec) (*apiv1.Job, error) {
	f.submitted = spec
	return &apiv1.Job{Id: id, Spec: spec}, nil
}

func (f *fakeJobs) Job(_ context.Context, account, id string) (*apiv1.JobView, error) {
	if account != "a" || id != jobOfA {
		return nil, problem.New(problem.NotFound, "no such job")
	}
	return &apiv1.JobView{Job: &apiv1.Job{Id: id}}, nil
}

func (f *fakeJobs) List(account string) []*apiv1.Job {
	if account != "a" {
		return nil
	}
	return []*apiv1.Job{{Id: jobOfA}}
}

func (f *fakeJobs) Cancel(ctx context.Context, account, id string) (*apiv1.Job, error) {
	view, err := f.Job(ctx, account, id)
	return view.GetJob(), err
}

// outside is the callers' handler over fakes.
type outside struct {
	requests *fakeRequests
	jobs     *fakeJobs
	refusal  *problem.Error
	handler  http.Handler
}

func newOutside() *outside {
	o := &outside{requests: &fakeRequests{}, jobs: &fakeJobs{}}
	o.handler = Callers(CallersConfig{
		Callers: []*apiv1.CallerSettings{
			{Account: "a", Token: tokenA}, {Account: "b", Token: tokenB},
		},
		PayloadBytes: maxBytes,
		Requests:     o.requests,
		Jobs:         o.jobs,
		Refuse:       func() *problem.Error { return o.refusal },
		Events:       events.Discard(),
	})
	return o
}

// call makes one call; headers alternate names and values.
func (o *outside) call(method, path, token, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	o.handler.ServeHTTP(recorder, request)
	return recorder
}

func problemIn(t *testing.T, answer *httptest.ResponseRecorder) *apiv1.Problem {
	t.Helper()
	if got := answer.Header().Get("Content-Type"); got != mimeProblem {
		t.Fatalf("content type %q, want %q: %s", got, mimeProblem, answer.Body)
	}
	found := &apiv1.Problem{}
	if err := protojson.Unmarshal(answer.Body.Bytes(), found); err != nil {
		t.Fatal(err)
	}
	if int(found.Status) != answer.Code || found.Detail == "" || found.Type == "" {
		t.Errorf("status %d with the problem %v", answer.Code, found)
	}
	return found
}

func TestRequestRefusals(t *testing.T) {
	unavailable := problem.New(problem.Unavailable, "draining; ask another instance")
	tests := []struct {
		name    string
		token   string
		body    string
		refusal *problem.Error
		headers []string
		kind    problem.Kind
	}{
		{name: "no token", kind: problem.Unauthorized},
		{name: "wrong token", token: "token-of-nobody-0001", kind: problem.Unauthorized},
		{name: "not ready", token: tokenA, refusal: unavailable, kind: problem.Unavailable},
		{name: "class", token: tokenA, headers: []string{HeaderClass, "quick"}, kind: problem.Invalid},
		{name: "key", token: tokenA, headers: []string{HeaderKey, "7"}, kind: problem.Invalid},
		{name: "key of another version", token: tokenA, headers: []string{HeaderKey, uuid.NewString()}, kind: problem.Invalid},
		{name: "timeout", token: tokenA, headers: []string{HeaderTimeout, "0"}, kind: problem.Invalid},
		{name: "payload", token: tokenA, body: strings.Repeat("x", maxBytes+1), kind: problem.TooLarge},
		{name: "body", token: tokenA, body: strings.Repeat("x", 1<<16), kind: problem.TooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newOutside()
			o.refusal = test.refusal
			answer := o.call(http.MethodPost, "/v1/requests", test.token, test.body, test.headers...)
			found := problemIn(t, answer)
			if found.Kind != test.kind.Name || found.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN {
				t.Errorf("kind %s, outcome %s, want %s and not run", found.Kind, found.Outcome, test.kind.Name)
			}
			if o.requests.asked != 0 {
				t.Error("the refused request was run")
			}
		})
	}
}

func TestRequestActsForTheTokensAccount(t *testing.T) {
	o := newOutside()
	o.requests.answer = routing.Answer{Outcome: routing.Done, Payload: []byte("yes"), Attempts: 2}
	key := uuid.Must(uuid.NewV7())
	answer := o.call(http.MethodPost, "/v1/requests", tokenB, "may 7 enter?",
		HeaderKey, key.String(), HeaderClass, "urgent", HeaderTimeout, "1500", HeaderRetry, "true")
	if answer.Code != http.StatusOK || answer.Body.String() != "yes" || answer.Header().Get(HeaderOutcome) != "done" {
		t.Errorf("answer %d %q %v", answer.Code, answer.Body, answer.Header())
	}
	got := o.requests.last
	if got.Account != "b" || got.Key != key || got.Class != routing.Urgent || !got.Retry || got.Idempotent {
		t.Errorf("request %+v", got)
	}
	if rest := time.Until(got.Deadline); rest > 1500*time.Millisecond {
		t.Errorf("the deadline is %v away", rest)
	}
}

func TestOutcomesAreNeverBlurred(t *testing.T) {
	tests := []struct {
		answer  routing.Answer
		kind    problem.Kind
		outcome apiv1.Outcome
	}{
		{routing.Answer{Outcome: routing.NotRun, Kind: routing.KindQueueFull, RetryAfter: 1500 * time.Millisecond}, problem.Overload, apiv1.Outcome_OUTCOME_NOT_RUN},
		{routing.Answer{Outcome: routing.NotRun, Kind: routing.KindKeyConflict}, problem.KeyConflict, apiv1.Outcome_OUTCOME_NOT_RUN},
		{routing.Answer{Outcome: routing.Unknown, Kind: routing.KindDeadline}, problem.Deadline, apiv1.Outcome_OUTCOME_UNKNOWN},
		{routing.Answer{Outcome: routing.Unknown, Kind: routing.KindAnswerLost}, problem.NotKnown, apiv1.Outcome_OUTCOME_UNKNOWN},
		{routing.Answer{Outcome: routing.Done, Kind: routing.KindAnswerNotKept}, problem.AnswerGone, apiv1.Outcome_OUTCOME_DONE},
		{routing.Answer{}, problem.Unavailable, apiv1.Outcome_OUTCOME_UNKNOWN},
	}
	for _, test := range tests {
		o := newOutside()
		o.requests.answer = test.answer
		answer := o.call(http.MethodPost, "/v1/requests", tokenA, "x", HeaderIdempotent, "true")
		found := problemIn(t, answer)
		if found.Kind != test.kind.Name || found.Outcome != test.outcome {
			t.Errorf("%+v became kind %s, outcome %s", test.answer, found.Kind, found.Outcome)
		}
		if test.answer.RetryAfter > 0 && answer.Header().Get("Retry-After") != "2" {
			t.Errorf("Retry-After %q, want 2", answer.Header().Get("Retry-After"))
		}
	}
}

// TestRefusalOfARepeatIsUnknown refuses a request that may have been sent, and run, before.
func TestRefusalOfARepeatIsUnknown(t *testing.T) {
	o := newOutside()
	o.refusal = problem.New(problem.Unavailable, "draining; ask another instance")
	key := uuid.Must(uuid.NewV7()).String()
	for _, test := range []struct {
		retry   string
		outcome apiv1.Outcome
	}{{"false", apiv1.Outcome_OUTCOME_NOT_RUN}, {"true", apiv1.Outcome_OUTCOME_UNKNOWN}} {
		answer := o.call(http.MethodPost, requestsPath, tokenA, "x", HeaderKey, key, HeaderRetry, test.retry)
		if found := problemIn(t, answer); found.Outcome != test.outcome {
			t.Errorf("retry %s: %s, want %s", test.retry, found.Outcome, test.outcome)
		}
	}
}

func TestNoAccountSeesAnothersJobs(t *testing.T) {
	o := newOutside()
	path := "/v1/jobs/" + jobOfA
	if got := o.call(http.MethodGet, path, tokenA, "").Code; got != http.StatusOK {
		t.Errorf("the owner sees %d", got)
	}
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		if found := problemIn(t, o.call(method, path, tokenB, "")); found.Kind != problem.NotFound.Name {
			t.Errorf("%s of another account's job: %s", method, found.Kind)
		}
	}
	if list := o.call(http.MethodGet, "/v1/jobs", tokenB, "").Body.String(); strings.Contains(list, jobOfA) {
		t.Errorf("account b lists %s", list)
	}
	key := uuid.Must(uuid.NewV7()).String()
	answer := o.call(http.MethodPost, "/v1/jobs", tokenB, `{"account":"a"}`, HeaderKey, key)
	if found := problemIn(t, answer); found.Kind != problem.Invalid.Name || o.jobs.submitted != nil {
		t.Errorf("a job for another account: %s", found.Kind)
	}
}

package placing

import "context"

// Explain says why a waiting job waits, from the decision itself. It is "" when the loop does not know the job
// or ctx ends first.
func (l *Loop) Explain(ctx context.Context, id string) string {
	answer := make(chan string, 1)
	l.mail.put(func() {
		known := l.jobs[id]
		if known == nil {
			answer <- ""
			return
		}
		answer <- l.config.Policy.Explain(id)
	})
	select {
	case text := <-answer:
		return text
	case <-ctx.Done():
		return ""
	}
}

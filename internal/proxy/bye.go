package proxy

import (
	"context"

	"puffincrank/internal/session"
	"puffincrank/internal/wire"
)

// bye ends the session politely.
func (t *touch) bye() {
	t.mu.Lock()
	at := t.at
	t.mu.Unlock()
	if at == "" {
		return
	}
	ctx, end := context.WithTimeout(t.x.g.Context(), t.x.P.Beat())
	defer end()
	_, _ = wire.Ask[session.Receipt](ctx, t.x.n, at, "session.beat", session.Beat{Fellow: t.x.self, Bye: true})
}

func (x *Proxy) onPush(_ context.Context, _ wire.Hello, in session.Push) (struct{}, error) {
	x.take(in.Version, in.Doc)
	return struct{}{}, nil
}

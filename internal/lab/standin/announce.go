package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// announceInterval is the time after which an announcement is repeated.
const announceInterval = time.Second

// announcement is what an upstream tells the node beside it.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	WarmUpMS    int64  `json:"warm-up-ms"`
}

func (us *Upstream) announce(ctx context.Context) {
	if us.opt.AnnounceURL == "" {
		return
	}
	for {
		if !us.leaving.Load() {
			us.tell(ctx, http.MethodPost, "/announce")
		}
		if !wait(ctx, announceInterval) {
			return
		}
	}
}

// Leave ends the announcement and refuses requests that have not begun.
func (us *Upstream) Leave(ctx context.Context) bool {
	us.leaving.Store(true)
	return us.tell(ctx, http.MethodDelete, "/announce")
}

// Drain tells the node to send no new work, and goes on with what it has.
func (us *Upstream) Drain(ctx context.Context) bool {
	return us.tell(ctx, http.MethodPost, "/drain")
}

// tell sends the announcement and reports whether the node accepted it.
func (us *Upstream) tell(ctx context.Context, method, path string) bool {
	body, err := json.Marshal(announcement{
		Service: string(us.opt.Service), Address: us.Address(), Slots: us.opt.Slots,
		Connections: us.opt.Connections, WarmUpMS: us.opt.WarmUp.Milliseconds(),
	})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, us.opt.AnnounceURL+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := us.client.Do(req)
	if err != nil {
		return false
	}
	defer drain(res.Body)
	return res.StatusCode < http.StatusMultipleChoices
}

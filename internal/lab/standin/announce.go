package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// announceInterval is the time between two announcements, and the timeout of each.
const announceInterval = time.Second

// announcement is the body of requests to the node beside the upstream.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	WarmUpMS    int64  `json:"warm-up-ms"`
}

// announce announces the upstream in intervals, unless it is leaving, until ctx ends.
func (us *Upstream) announce(ctx context.Context) {
	if us.opt.AnnounceURL == "" {
		return
	}
	for {
		if !us.leaving.Load() {
			us.notifyNode(ctx, http.MethodPost, "/announce")
		}
		if !sleep(ctx, announceInterval) {
			return
		}
	}
}

// Leave withdraws the announcement and refuses requests that have no slot yet. It reports
// whether the node accepted the withdrawal.
func (us *Upstream) Leave(ctx context.Context) bool {
	us.leaving.Store(true)
	return us.notifyNode(ctx, http.MethodDelete, "/announce")
}

// Drain asks the node to send no new work. The upstream completes the work that it has.
// It reports whether the node accepted the request.
func (us *Upstream) Drain(ctx context.Context) bool {
	return us.notifyNode(ctx, http.MethodPost, "/drain")
}

// notifyNode sends the announcement and reports whether the node accepted it.
func (us *Upstream) notifyNode(ctx context.Context, method, path string) bool {
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
	defer discardBody(res.Body)
	return res.StatusCode < http.StatusMultipleChoices
}

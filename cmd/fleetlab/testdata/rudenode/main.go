// Command rudenode stands in for a node that drains badly: it takes a while over each request, and ends at SIGTERM
// with whatever it has open.
package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	var cfg struct{ Listen string }
	raw, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil || json.Unmarshal(raw, &cfg) != nil {
		os.Exit(2)
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go func() { <-term; os.Exit(0) }()
	http.HandleFunc("/health/ready", func(w http.ResponseWriter, _ *http.Request) {})
	http.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	http.ListenAndServe(cfg.Listen, nil)
	os.Exit(1)
}

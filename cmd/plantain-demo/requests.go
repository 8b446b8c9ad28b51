package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	openai "github.com/sashabaranov/go-openai"

	"github.com/plantainstair/plantainstair/pkg/fault"
	"github.com/plantainstair/plantainstair/pkg/local"
)

const (
	chatTokens    = 16
	maxReplyBytes = 64 << 10
	logTailBytes  = 2 << 10
	keyHeader     = "Idempotency-Key"
	outcomeHeader = "Plantain-Outcome"
)

// sendRequests sends a chat request through the first entry process and calls the
// order service through each one, with the same idempotency key.
func sendRequests(ctx context.Context, d *local.Deployment) error {
	if err := sendChat(ctx, d); err != nil {
		return err
	}
	key, err := uuid.NewV7()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "create a key")
	}
	for _, e := range d.Entries {
		if err := callOrderService(ctx, d, e, key.String()); err != nil {
			return err
		}
	}
	return nil
}

func sendChat(ctx context.Context, d *local.Deployment) error {
	config := openai.DefaultConfig(d.Plan.Organisations[0].Key)
	config.BaseURL = "http://" + d.Entries[0].Address + "/v1"
	stream, err := openai.NewClientWithConfig(config).CreateChatCompletionStream(ctx, openai.ChatCompletionRequest{
		Model:               d.Plan.Model,
		MaxCompletionTokens: chatTokens,
		Messages:            []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "which cartridge fits my tap"}},
	})
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "start the chat")
	}
	defer stream.Close()
	fmt.Print("chat:  ")
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			fmt.Println()
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Upstream, "read the chat")
		}
		for _, c := range chunk.Choices {
			fmt.Print(c.Delta.Content)
		}
	}
}

func callOrderService(ctx context.Context, d *local.Deployment, e *local.Entry, key string) error {
	target := "http://" + e.Address + "/services/" + d.Plan.Services[0] + "/replacements"
	body := bytes.NewBufferString(`{"cartridge":"c-12","count":1}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "build the order")
	}
	req.Header.Set("Authorization", "Bearer "+d.Plan.Organisations[0].Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(keyHeader, key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "send the order")
	}
	defer res.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "read the answer to the order")
	}
	fmt.Printf("order through %s: status %d, outcome %s: %s\n", e.Name, res.StatusCode, res.Header.Get(outcomeHeader), bytes.TrimSpace(reply))
	if res.StatusCode != http.StatusOK {
		return fault.New(fault.Upstream, "order was answered with status %d", res.StatusCode)
	}
	return nil
}

// printLogs prints the end of each log to standard error, to help explain a
// failure.
func printLogs(dir string) {
	paths, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		fmt.Fprintf(os.Stderr, "--- %s\n%s\n", filepath.Base(path), data[max(0, len(data)-logTailBytes):])
	}
}

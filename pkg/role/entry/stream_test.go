package entry

import (
	"context"
	"errors"
	"io"
	"testing"

	openai "github.com/sashabaranov/go-openai"
	"gotest.tools/v3/assert"
)

// Guards against answers that an OpenAI client cannot read, in both forms.
func TestChat_OpenAIClient(t *testing.T) {
	s := newSystem(t, startAgents(t, 3, always(honest)), nil, "")
	text, err := s.stream(context.Background(), 20, 7)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, text, expected(20, 7))
	answer, err := s.client.CreateChatCompletion(context.Background(), chatRequest(20, 7))
	assert.NilError(t, err)
	assert.Equal(t, answer.Choices[0].Message.Content, expected(20, 7))
	assert.Equal(t, answer.Choices[0].FinishReason, openai.FinishReasonLength)
	assert.Equal(t, answer.Usage.TotalTokens, 25)
	models, err := s.client.ListModels(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, models.Models[0].ID, "m")
}

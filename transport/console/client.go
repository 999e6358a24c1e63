package console

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/crocushollow/crocushollow"
)

// Client calls the console of an instance.
type Client struct {
	// Address is the operator address of any instance.
	Address string
	// Token is the operator's credential, empty on a console without any.
	Token string
	// Operator is the name used on a console without credentials.
	Operator string
}

// Table returns all rows of a table.
func (c Client) Table(ctx context.Context, name crocushollow.TableName) (Table, error) {
	var table Table
	err := c.call(ctx, http.MethodGet, "/tables/"+url.PathEscape(string(name)), nil, &table)
	return table, err
}

// History returns the remembered edits of a row, oldest first.
func (c Client) History(ctx context.Context, ref crocushollow.RowRef) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	path := "/tables/" + url.PathEscape(string(ref.Table)) + "/" + url.PathEscape(ref.ID) + "/history"
	err := c.call(ctx, http.MethodGet, path, nil, &entries)
	return entries, err
}

// Edit publishes changes.
func (c Client) Edit(ctx context.Context, changes []Change) ([]ChangeResult, error) {
	var answer EditResponse
	err := c.call(ctx, http.MethodPost, "/edits", EditRequest{Changes: changes}, &answer)
	return answer.Results, err
}

// AppliedStatus tells how many instances have applied an offset.
func (c Client) AppliedStatus(ctx context.Context, offset uint64) (AppliedStatus, error) {
	var inForce AppliedStatus
	err := c.call(ctx, http.MethodGet, "/in-force/"+strconv.FormatUint(offset, 10), nil, &inForce)
	return inForce, err
}

// Status returns what the instance knows of the fleet.
func (c Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// waitPoll is the time between two questions while waiting.
const waitPoll = 50 * time.Millisecond

// ErrNotApplied reports that some instance has not applied an edit in time.
var ErrNotApplied = errors.New("not in force everywhere")

// WaitApplied returns once every live instance has applied an offset.
func (c Client) WaitApplied(ctx context.Context, offset uint64) (AppliedStatus, error) {
	for {
		inForce, err := c.AppliedStatus(ctx, offset)
		if err == nil && inForce.Applied == inForce.Instances {
			return inForce, nil
		}
		select {
		case <-ctx.Done():
			return inForce, ErrNotApplied
		case <-time.After(waitPoll):
		}
	}
}

func (c Client) call(ctx context.Context, method, path string, body, out any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(OperatorHeader, c.Operator)
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var failure ErrorResponse
		_ = json.NewDecoder(response.Body).Decode(&failure)
		return fmt.Errorf("%s: %s", response.Status, failure.Error)
	}
	return json.NewDecoder(response.Body).Decode(out)
}

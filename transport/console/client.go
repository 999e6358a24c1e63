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

// Client calls the operator API of an instance.
type Client struct {
	// Address is the operator address of an instance. Any instance will do.
	Address string
	// Token is the credential of the operator. It is empty if the instance has no
	// operators configured.
	Token string
	// Operator is the name to record in edits if the instance has no operators
	// configured.
	Operator string
}

// Table returns all rows of a table.
func (c Client) Table(ctx context.Context, name crocushollow.TableName) (Table, error) {
	var table Table
	err := c.call(ctx, http.MethodGet, "/tables/"+url.PathEscape(string(name)), nil, &table)
	return table, err
}

// History returns the edits of a row that the instance retains, oldest first.
func (c Client) History(ctx context.Context, ref crocushollow.RowRef) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	path := "/tables/" + url.PathEscape(string(ref.Table)) + "/" + url.PathEscape(ref.ID) + "/history"
	err := c.call(ctx, http.MethodGet, path, nil, &entries)
	return entries, err
}

// Edit publishes changes and returns the result of each.
func (c Client) Edit(ctx context.Context, changes []Change) ([]ChangeResult, error) {
	var response EditResponse
	err := c.call(ctx, http.MethodPost, "/edits", EditRequest{Changes: changes}, &response)
	return response.Results, err
}

// AppliedStatus returns which instances have applied the record at a log offset.
func (c Client) AppliedStatus(ctx context.Context, offset uint64) (AppliedStatus, error) {
	var status AppliedStatus
	err := c.call(ctx, http.MethodGet, "/in-force/"+strconv.FormatUint(offset, 10), nil, &status)
	return status, err
}

// Status returns the state of the fleet as the instance sees it.
func (c Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// waitPollInterval is the time between requests in WaitApplied.
const waitPollInterval = 50 * time.Millisecond

// ErrNotApplied reports that some instances did not apply an edit before the
// context ended.
var ErrNotApplied = errors.New("edit not applied on all instances")

// WaitApplied waits until all live instances have applied the record at a log
// offset.
func (c Client) WaitApplied(ctx context.Context, offset uint64) (AppliedStatus, error) {
	for {
		status, err := c.AppliedStatus(ctx, offset)
		if err == nil && status.Applied == status.Instances {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return status, ErrNotApplied
		case <-time.After(waitPollInterval):
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
		var errorResponse ErrorResponse
		_ = json.NewDecoder(response.Body).Decode(&errorResponse)
		return fmt.Errorf("%s: %s", response.Status, errorResponse.Error)
	}
	return json.NewDecoder(response.Body).Decode(out)
}

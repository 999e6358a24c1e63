package registrar

import (
	"context"
	"maps"
	"slices"
	"time"
)

// Run keeps the ledger until the context ends.
func (r *Registrar) Run(ctx context.Context) error {
	defer close(r.done)
	for {
		timer := time.NewTimer(r.untilNextStep())
		var waiting []*confirmation
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-r.wake:
		case entries := <-r.told:
			r.hear(entries)
		case c := <-r.confirms:
			waiting = r.gather(c)
		case <-timer.C:
		}
		timer.Stop()
		r.step(ctx, waiting)
	}
}

// gather returns a confirmation with all others that wait. One read serves all of them.
func (r *Registrar) gather(first *confirmation) []*confirmation {
	waiting := []*confirmation{first}
	if wait := minReadInterval - r.config.Now().Sub(r.readAt); wait > 0 {
		time.Sleep(wait)
	}
	for {
		select {
		case c := <-r.confirms:
			waiting = append(waiting, c)
		default:
			return waiting
		}
	}
}

// hear applies what another instance knows. That instance may not know yet that the ledger
// was restored, so what the ledger has lost is still added again.
func (r *Registrar) hear(entries []Software) {
	now := r.config.Now()
	for _, entry := range entries {
		known := r.entry(entry)
		if isLost := known.isListed && known.isMissing; !isLost {
			known.list(now)
		}
	}
}

// entry returns the state of an entry, which it creates if necessary.
func (r *Registrar) entry(entry Software) *state {
	known := r.entries[entry]
	if known == nil {
		known = &state{inUseAt: r.config.Now()}
		r.entries[entry] = known
	}
	return known
}

// step answers the confirmations and brings the ledger up to date.
func (r *Registrar) step(ctx context.Context, waiting []*confirmation) {
	if len(waiting) > 0 {
		page, err := r.confirm(ctx)
		for _, c := range waiting {
			c.entries, c.err = page.Entries, err
			close(c.done)
		}
	}
	missing := r.observeUse()
	if r.needsRead(missing) {
		if _, err := r.read(ctx); err == nil {
			missing = r.observeUse()
		}
	}
	if len(missing) > 0 && !r.config.Now().Before(r.dueAt(missing)) {
		r.record(ctx, missing)
		r.observeUse()
	}
	r.removeUnused(ctx)
	// Messages may be lost.
	if r.config.IsRecorder() && r.config.Now().Sub(r.toldAt) >= checkInterval {
		r.tell()
	}
	r.publish()
}

// confirm reads the ledger, unless it has just failed or may not list all entries yet.
func (r *Registrar) confirm(ctx context.Context) (Page, error) {
	if r.config.Now().Before(r.nextCallAt) {
		return Page{}, errUnavailable
	}
	page, err := r.read(ctx)
	if err == nil && r.config.Now().Before(r.uncertainUntil) {
		err = ErrUncertain
	}
	return page, err
}

// needsRead reports whether the ledger must be read at once: it never was, or it was
// restored from a copy.
func (r *Registrar) needsRead(missing []Software) bool {
	if r.config.Now().Before(r.nextCallAt) {
		return false
	}
	return r.readAt.IsZero() && len(missing) > 0 || r.era >= 0 && r.config.Ledger.Era() > r.era
}

// observeUse updates the entries from the versions in use. It returns those that must be
// added to the ledger as far as is known.
func (r *Registrar) observeUse() []Software {
	now := r.config.Now()
	for _, entry := range r.config.InUse() {
		known := r.entry(entry)
		if now.Sub(known.inUseAt) > disuseTimeout {
			known.isListed, known.isUsable = false, false
		}
		known.inUseAt = now
		switch {
		case known.isListed:
			known.isUsable = true
		case !known.isMissing:
			known.isMissing, known.missingSince = true, now
		}
	}
	var missing []Software
	for entry, known := range r.entries {
		if known.isMissing {
			missing = append(missing, entry)
		}
	}
	return missing
}

// dueAt returns when this instance adds missing entries itself.
func (r *Registrar) dueAt(missing []Software) time.Time {
	if r.config.IsRecorder() {
		return r.nextCallAt
	}
	first := r.entries[missing[0]].missingSince
	for _, entry := range missing {
		if since := r.entries[entry].missingSince; since.Before(first) {
			first = since
		}
	}
	if due := first.Add(r.config.Delay()); due.After(r.nextCallAt) {
		return due
	}
	return r.nextCallAt
}

// record adds missing entries to the ledger. An instance that is not the recorder first
// checks whether another one has added them.
func (r *Registrar) record(ctx context.Context, missing []Software) {
	if !r.config.IsRecorder() {
		page, err := r.read(ctx)
		if err != nil {
			return
		}
		missing = slices.DeleteFunc(missing, func(entry Software) bool { return slices.Contains(page.Entries, entry) })
	}
	if len(missing) > 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := r.config.Ledger.Add(ctx, missing); err != nil {
			r.handleFailure(err)
			return
		}
		r.config.Logger.Info().Any("entries", missing).Msg("software versions recorded")
	}
	for _, entry := range missing {
		r.entry(entry).list(r.config.Now())
	}
	r.tell()
}

// tell tells the other instances what the ledger lists.
func (r *Registrar) tell() {
	r.toldAt = r.config.Now()
	var listed []Software
	for entry, known := range r.entries {
		if known.isListed && !known.isMissing {
			listed = append(listed, entry)
		}
	}
	if len(listed) > 0 {
		r.config.Tell(listed)
	}
}

// read reads the ledger and updates the entries.
func (r *Registrar) read(ctx context.Context) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := r.config.Now()
	page, err := r.config.Ledger.Read(ctx)
	if err != nil {
		r.handleFailure(err)
		return Page{}, err
	}
	now := r.config.Now()
	r.readAt = now
	if page.Era > max(r.era, 0) {
		r.uncertainUntil = now.Add(rewriteTime)
	}
	isRestored := r.era >= 0 && page.Era > r.era
	r.era = page.Era
	for entry, known := range r.entries {
		isOlder := known.listedAt.Before(startedAt.Add(-relayGrace))
		switch {
		case !known.isListed || slices.Contains(page.Entries, entry):
		case isRestored:
			known.isMissing, known.missingSince = true, now
		case isOlder:
			known.isListed, known.isUsable = false, false
		}
	}
	for _, entry := range page.Entries {
		r.entry(entry).list(startedAt.Add(-relayGrace))
	}
	return page, nil
}

func (r *Registrar) handleFailure(err error) {
	r.nextCallAt = r.config.Now().Add(retryDelay)
	r.config.Logger.Warn().Err(err).Msg("ledger of software versions failed")
}

// removeUnused removes a version that has had no upstreams for the retention time. Only the
// recorder does.
func (r *Registrar) removeUnused(ctx context.Context) {
	now := r.config.Now()
	if !r.config.IsRecorder() || now.Before(r.nextCallAt) {
		return
	}
	for entry, known := range r.entries {
		if !known.isListed || now.Sub(known.inUseAt) < retention {
			continue
		}
		page, err := r.read(ctx)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := r.config.Ledger.Remove(ctx, entry, page.Mark); err != nil {
			r.handleFailure(err)
			return
		}
		delete(r.entries, entry)
		r.config.Logger.Info().Any("entry", entry).Msg("software version removed")
		return
	}
}

// publish makes the versions known.
func (r *Registrar) publish() {
	services := make(map[string]versions)
	for entry, known := range r.entries {
		if !known.isListed {
			continue
		}
		service := services[entry.Service]
		service.listed = append(service.listed, entry.Version)
		if known.isUsable {
			service.usable = append(service.usable, entry.Version)
		}
		services[entry.Service] = service
	}
	for _, service := range services {
		slices.Sort(service.listed)
		slices.Sort(service.usable)
	}
	if maps.EqualFunc(services, *r.services.Load(), versions.equals) {
		return
	}
	r.services.Store(&services)
	r.config.OnChange()
}

// untilNextStep returns the time until the next step is due without an event.
func (r *Registrar) untilNextStep() time.Duration {
	now := r.config.Now()
	next := checkInterval
	for _, known := range r.entries {
		if !known.isMissing {
			continue
		}
		due := r.nextCallAt
		if !r.config.IsRecorder() && known.missingSince.Add(r.config.Delay()).After(due) {
			due = known.missingSince.Add(r.config.Delay())
		}
		next = min(next, max(due.Sub(now), minReadInterval))
	}
	return next
}

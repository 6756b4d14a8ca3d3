package status

import (
	"sync"
	"time"

	"github.com/teaselstream/teaselstream"
)

// recordTime is how long a record is passed on; VMs use none that is older than 3 s.
const recordTime = 10 * time.Second

// teamLoadAge is how long what a VM last said about its teams counts; a VM asks twice a second.
const teamLoadAge = 2 * time.Second

type (
	// journal keeps the newest record of each server and what VMs say about their teams; its zero value is empty.
	journal struct {
		mu      sync.Mutex
		boot    uint64
		seq     uint64
		records map[teaselstream.ServerID]entry
		teams   map[teaselstream.VMID]teamReport
		news    chan struct{}
	}

	entry struct {
		record Record
		seq    uint64
		// at is when the record was made, and foreign means that the observer of another failure domain made it.
		at      time.Time
		foreign bool
	}

	teamReport struct {
		loads []TeamLoad
		at    time.Time
	}

	teamKey struct {
		service teaselstream.ServiceID
		team    teaselstream.TeamID
	}
)

// reset drops all records; boot distinguishes the sequence numbers that follow from earlier ones.
func (j *journal) reset(boot uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.boot, j.seq = boot, 0
	j.records = make(map[teaselstream.ServerID]entry)
	j.teams = make(map[teaselstream.VMID]teamReport)
	j.wake()
}

// add keeps a record that was made at the given time, and wakes those that wait if it is news. A record of another failure domain is news if
// the server's reachability has changed.
func (j *journal) add(at time.Time, r Record, news, foreign bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.SilentFor = min(r.SilentFor, maxAge)
	known, ok := j.records[r.Server]
	if !ok && len(j.records) >= maxElements {
		j.dropOld(at)
	}
	if j.records == nil || !ok && len(j.records) >= maxElements || ok && foreign && at.Before(known.at) {
		return
	}
	j.seq++
	j.records[r.Server] = entry{r, j.seq, at, foreign}
	if news || foreign && (known.record.State != r.State || known.record.Incarnation != r.Incarnation) {
		j.wake()
	}
}

// dropOld drops records that no VM uses any more; it is called with the lock held.
func (j *journal) dropOld(now time.Time) {
	for id, e := range j.records {
		if now.Sub(e.at) > recordTime {
			delete(j.records, id)
		}
	}
}

// wake is called with the lock held.
func (j *journal) wake() {
	if j.news != nil {
		close(j.news)
		j.news = nil
	}
}

// nextNews returns a channel that is closed at the next news.
func (j *journal) nextNews() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.news == nil {
		j.news = make(chan struct{})
	}
	return j.news
}

// since returns the records that a VM does not have yet, with their ages. Records of another boot do not count, and the observer of another
// failure domain gets only those that this VM made.
func (j *journal) since(now time.Time, boot, after uint64, own bool) Answer {
	j.mu.Lock()
	defer j.mu.Unlock()
	if boot != j.boot {
		after = 0
	}
	a := Answer{Boot: j.boot, Seq: j.seq}
	for _, e := range j.records {
		if now.Sub(e.at) <= recordTime && e.seq > after && (!own || !e.foreign) && len(a.Records) < maxElements {
			r := e.record
			r.Age = max(now.Sub(e.at), 0)
			a.Records = append(a.Records, r)
		}
	}
	return a
}

// setTeams keeps what a VM says about its teams.
func (j *journal) setTeams(now time.Time, vm teaselstream.VMID, loads []TeamLoad) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.teams == nil || len(j.teams) >= maxElements {
		return
	}
	j.teams[vm] = teamReport{loads, now}
}

// teamLoads sums what VMs have said lately, at most maxElements teams.
func (j *journal) teamLoads(now time.Time) []TeamLoad {
	j.mu.Lock()
	defer j.mu.Unlock()
	sums := make(map[teamKey]int)
	for vm, r := range j.teams {
		if now.Sub(r.at) > teamLoadAge {
			delete(j.teams, vm)
			continue
		}
		for _, l := range r.loads {
			k := teamKey{l.Service, l.Team}
			if _, ok := sums[k]; ok || len(sums) < maxElements {
				sums[k] += l.Running
			}
		}
	}
	out := make([]TeamLoad, 0, len(sums))
	for k, n := range sums {
		out = append(out, TeamLoad{k.service, k.team, min(n, maxRequests)})
	}
	return out
}

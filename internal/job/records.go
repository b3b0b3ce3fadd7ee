package job

import (
	"math"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// records are the keys that have no job in progress: ended jobs, and keys that
// are refused here. Both are forgotten in the second after their retention.
type records struct {
	ended       map[ID]record
	fences      map[ID]fence
	expiry      expiry
	answers     []ID // of ended jobs whose answers are kept, oldest first
	answerBytes int
}

// record is what remains of an ended job.
type record struct {
	digest uint64
	until  int64   // seconds of Unix time
	answer *Answer // nil once released
	code   result.Code
}

// fence refuses the attempts of a key below a number.
type fence struct {
	until   int64 // seconds of Unix time
	attempt int
}

// spent is the attempt of a fence that refuses every submission of the key.
const spent = math.MaxInt

// Approximate bytes that a kept answer takes besides its results.
const (
	answerOverhead = 320
	resultOverhead = 32
)

func newRecords(now time.Time) records {
	return records{
		ended:  make(map[ID]record),
		fences: make(map[ID]fence),
		expiry: expiry{buckets: make(map[int64][]ID), next: now.Unix()},
	}
}

// job returns the identity and the answer of an ended job.
func (r record) job(id ID) *Job {
	j := &Job{Submission: Submission{ID: id, Digest: r.digest}, ended: true, answer: r.answer}
	if r.answer == nil {
		j.answer = &Answer{ID: id, Code: r.code}
	}
	return j
}

// addEnded keeps the record of a job, and its answer for now.
func (r *records) addEnded(j *Job) {
	until := lastSecond(j.retention)
	r.ended[j.ID] = record{digest: j.Digest, until: until, answer: j.answer, code: releasedCode(j.answer.Code)}
	r.expiry.add(j.ID, until)
	r.answers = append(r.answers, j.ID)
	r.answerBytes += j.answer.bytes()
}

// releasedCode is the code of an answer whose results are no longer kept.
func releasedCode(c result.Code) result.Code {
	if c == result.OK {
		return result.AnswerReleased
	}
	return c
}

// bytes returns about how much memory the answer takes.
func (a *Answer) bytes() int {
	n := answerOverhead + len(a.Detail)
	for _, r := range a.Results {
		n += resultOverhead + len(r)
	}
	return n
}

// releaseBeyond drops the oldest answers beyond a bound; their codes stay.
func (r *records) releaseBeyond(bytes int) {
	for r.answerBytes > bytes && len(r.answers) > 0 {
		r.releaseOldest()
	}
}

func (r *records) releaseOldest() {
	id := r.answers[0]
	r.answers[0] = ID{}
	r.answers = r.answers[1:]
	e := r.ended[id]
	if e.answer == nil {
		return
	}
	r.answerBytes -= e.answer.bytes()
	e.answer = nil
	r.ended[id] = e
}

func (r *records) fence(id ID, until time.Time, attempt int) {
	f := fence{until: lastSecond(until), attempt: attempt}
	if known, ok := r.fences[id]; !ok || known.until != f.until {
		r.expiry.add(id, f.until)
	}
	r.fences[id] = f
}

// Spend refuses every further submission of a fenced key: attempts without
// numbers can't be told from those that were sent before the last answer.
func (r *records) Spend(id ID) {
	if f, ok := r.fences[id]; ok {
		f.attempt = spent
		r.fences[id] = f
	}
}

// expire forgets the records whose time has passed.
func (r *records) expire(now time.Time) {
	r.expiry.due(now, func(id ID, second int64) {
		if f, ok := r.fences[id]; ok && f.until <= second {
			delete(r.fences, id)
		}
		if e, ok := r.ended[id]; ok && e.until <= second {
			if e.answer != nil {
				r.answerBytes -= e.answer.bytes()
			}
			delete(r.ended, id)
		}
	})
	for len(r.answers) > 0 && r.ended[r.answers[0]].answer == nil {
		r.releaseOldest()
	}
}

// expiry orders keys by the second in which they expire.
type expiry struct {
	buckets map[int64][]ID
	next    int64 // first second that was not handled
}

func (x *expiry) add(id ID, second int64) {
	second = max(second, x.next)
	x.buckets[second] = append(x.buckets[second], id)
}

// due calls f for the keys of every second that has passed.
func (x *expiry) due(now time.Time, f func(id ID, second int64)) {
	for ; x.next < now.Unix(); x.next++ {
		for _, id := range x.buckets[x.next] {
			f(id, x.next)
		}
		delete(x.buckets, x.next)
	}
}

// lastSecond returns the second of Unix time in which t falls.
func lastSecond(t time.Time) int64 { return t.Unix() }

package job

import (
	"math"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// records holds the keys without a job in progress: those of ended jobs and
// those that are fenced on this host. Each is deleted in the second after its
// expiry.
type records struct {
	ended       map[ID]record
	fences      map[ID]fence
	expiry      expiry
	answers     []ID // IDs of the ended jobs whose answers are kept, oldest first
	answerBytes int
}

// record is kept of an ended job to answer repetitions and fetches.
type record struct {
	digest    uint64
	expiresAt int64       // seconds of Unix time
	answer    *Answer     // nil when released to free memory
	code      result.Code // answered once the answer has been released
}

// fence makes this host refuse the first attempt of a key and every attempt with
// a number below attempt.
type fence struct {
	expiresAt int64 // seconds of Unix time
	attempt   int
}

// everyAttempt as a fence's attempt refuses every submission of the key.
const everyAttempt = math.MaxInt

// Approximate memory of a kept answer beyond its result bytes: once per answer,
// and once per result.
const (
	answerOverhead = 320
	resultOverhead = 32
)

func newRecords(now time.Time) records {
	return records{
		ended:  make(map[ID]record),
		fences: make(map[ID]fence),
		expiry: expiry{buckets: make(map[int64][]ID), nextSecond: now.Unix()},
	}
}

// asJob returns a Job that holds only the identity and the answer of an ended
// job.
func (r record) asJob(id ID) *Job {
	j := &Job{Submission: Submission{ID: id, Digest: r.digest}, ended: true, answer: r.answer}
	if r.answer == nil {
		j.answer = &Answer{ID: id, Code: r.code}
	}
	return j
}

// addEnded stores the record of an ended job with its answer, which
// limitAnswerBytes may release before the record expires.
func (r *records) addEnded(j *Job) {
	until := unixSecond(j.retainUntil)
	r.ended[j.ID] = record{digest: j.Digest, expiresAt: until, answer: j.answer, code: releasedCode(j.answer.Code)}
	r.expiry.add(j.ID, until)
	r.answers = append(r.answers, j.ID)
	r.answerBytes += j.answer.memoryBytes()
}

// releasedCode returns the code to answer with once an answer with code c has
// been released. Failures have no results to lose and keep their code.
func releasedCode(c result.Code) result.Code {
	if c == result.OK {
		return result.AnswerReleased
	}
	return c
}

// memoryBytes returns the approximate memory use of the answer.
func (a *Answer) memoryBytes() int {
	n := answerOverhead + len(a.Detail)
	for _, r := range a.Results {
		n += resultOverhead + len(r)
	}
	return n
}

// limitAnswerBytes releases the oldest answers until the rest take at most
// bytes. The codes of released answers are kept.
func (r *records) limitAnswerBytes(bytes int) {
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
	r.answerBytes -= e.answer.memoryBytes()
	e.answer = nil
	r.ended[id] = e
}

// fence stores or replaces the fence of a key.
func (r *records) fence(id ID, until time.Time, attempt int) {
	f := fence{expiresAt: unixSecond(until), attempt: attempt}
	if known, ok := r.fences[id]; !ok || known.expiresAt != f.expiresAt {
		r.expiry.add(id, f.expiresAt)
	}
	r.fences[id] = f
}

// FenceEveryAttempt makes this host refuse every further submission of a key
// that it has fenced. Callers that don't number their attempts need this: a new
// attempt can't be distinguished from one sent before the last answer.
func (r *records) FenceEveryAttempt(id ID) {
	if f, ok := r.fences[id]; ok {
		f.attempt = everyAttempt
		r.fences[id] = f
	}
}

// expire deletes the records and fences that have expired.
func (r *records) expire(now time.Time) {
	r.expiry.popDue(now, func(id ID, second int64) {
		if f, ok := r.fences[id]; ok && f.expiresAt <= second {
			delete(r.fences, id)
		}
		if e, ok := r.ended[id]; ok && e.expiresAt <= second {
			if e.answer != nil {
				r.answerBytes -= e.answer.memoryBytes()
			}
			delete(r.ended, id)
		}
	})
	for len(r.answers) > 0 && r.ended[r.answers[0]].answer == nil {
		r.releaseOldest()
	}
}

// expiry groups keys by the second of Unix time in which they expire.
type expiry struct {
	buckets    map[int64][]ID
	nextSecond int64 // first second whose bucket was not processed yet
}

func (x *expiry) add(id ID, second int64) {
	second = max(second, x.nextSecond)
	x.buckets[second] = append(x.buckets[second], id)
}

// popDue calls f for the keys of every second that has passed, and removes
// them.
func (x *expiry) popDue(now time.Time, f func(id ID, second int64)) {
	for ; x.nextSecond < now.Unix(); x.nextSecond++ {
		for _, id := range x.buckets[x.nextSecond] {
			f(id, x.nextSecond)
		}
		delete(x.buckets, x.nextSecond)
	}
}

// unixSecond returns the second of Unix time that contains t.
func unixSecond(t time.Time) int64 { return t.Unix() }

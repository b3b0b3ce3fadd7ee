#!/bin/bash
# Applies one named edit at a time to a copy of the tree and requires the named
# test to fail on it. Prints a table; exits with 1 when an edit does not apply,
# does not build, or its variant passes the test.
#
#   scripts/mutants.sh [NAME]   all edits, or those whose name contains NAME
set -u
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | sort -zu | xargs -0 cp --parents -t "$copy"

readonly table=internal/job/table.go job=internal/job/job.go locate=internal/engine/locate.go
readonly engine=internal/engine/engine.go cluster=internal/engine/cluster.go stall=internal/engine/stall.go client=internal/backend/client.go
readonly chaos='./internal/emulator AtMostOnce'
failed=0

# mutant NAME FILE SED-EXPRESSION PACKAGE TEST
mutant() {
	local name=$1 file=$2 edit=$3 package=$4 test=$5
	[[ $name == *"$only"* ]] || return
	sed -i "$edit" "$copy/$file"
	local verdict
	if cmp -s "$file" "$copy/$file"; then
		verdict="EDIT NOT APPLIED"
	elif ! (cd "$copy" && go vet "$package") >"$copy/out" 2>&1; then
		verdict="DOES NOT BUILD: $(tail -1 "$copy/out")"
	elif (cd "$copy" && go test -count=1 -run "$test" "$package") >"$copy/out" 2>&1; then
		verdict="SURVIVED"
	else
		verdict=killed
	fi
	cp "$file" "$copy/$file"
	[ "$verdict" = killed ] || failed=1
	printf '%-44s %-22s %-28s %s\n' "$name" "$package" "$test" "$verdict"
	if [ "$verdict" = killed ]; then
		grep -m1 -E 'seed [0-9]+|invariant broken' "$copy/out" | cut -c1-160 | sed 's/^ */    /'
	fi
}

only=${1:-}
printf '%-44s %-22s %-28s %s\n' variant package test verdict
mutant 'fences not checked' $table 's/_, fenced := t.fences\[s.ID\]/fenced := false/' $chaos
mutant 'no refusal after a restart' $table 's/return submittedAt.Before(t.startedAt.Add(t.limits.ClockError))/return false/' $chaos
mutant 'no clock error after a restart' $table 's/t.startedAt.Add(t.limits.ClockError)/t.startedAt/' $chaos
mutant 'fences kept for half the lifetime' $table 's/t.fence(id, t.retention(submittedAt), attempt)/t.fence(id, submittedAt.Add(t.limits.KeyLifetime\/2), attempt)/' $chaos
mutant 'fences ignore attempt numbers' $table 's/case attempt < f.attempt:/case f.attempt == spent:/' ./internal/job FencesOrder
mutant 'refused unnumbered keys not spent' internal/job/records.go 's/^\t\tf.attempt = spent$/\t\tf.attempt = 0/' $chaos
mutant 'old repetitions answered as not run' $table 's/case s.Attempt == 1:/case s.Attempt >= 0:/' $chaos
mutant 'both searching hosts told not seen' $locate 's/if s := e.searches\[id\]; s != nil \&\& s.submission != nil/if s := e.searches[id]; false \&\& s.submission != nil/' $chaos
mutant 'search goes on past the deadline' $locate 's/s.until = s.submission.Deadline$/_ = s/' $chaos
mutant 'conflict while the owner is unknown' $locate 's/result.Errorf(result.OwnerUnknown, "the owner of key/result.Errorf(result.KeyConflict, "the owner of key/' $chaos
mutant 'later attempt joins without fences' $locate 's/return e.join(now, s, sub)/return nil/' ./internal/engine RaisesTheFences
mutant 'search outlives a conflicting forward' internal/engine/slots.go 's/^\te.endConflictingSearch(now, id, m.Digest)$//' ./internal/engine AnotherBodyEnds
mutant 'late forward started' internal/engine/slots.go 's/m.Remaining - e.age(now, from, m.SentAt)/m.Remaining/' ./internal/engine AfterItsDeadline
mutant 'search answers for a job here' $locate 's/if e.jobs.Get(s.id) == nil {/if true {/' $chaos
mutant 'round of an answer not checked' $locate 's/ || s.round != m.Round {/ {/' ./internal/engine EarlierSearch
mutant 'unknown starts retried' $table 's/^\t\tk.state = Unknown$/\t\tk.disprove++; k.state = Queued; j.queued++; return nil/' $chaos
mutant 'deadline answered as not run' $table 's/j.byProgress(result.DeadlineNotRun, result.DeadlineRan, result.DeadlineUnknown)/result.DeadlineNotRun/' $chaos
mutant 'unknown outcome hidden by a failure' $job 's/j.byProgress(j.stopCode, j.stopCode, result.StartUnknown)/j.stopCode/' $chaos
mutant 'partial answer given' $table 's/case j.running > 0 || j.queued > 0:/case j.running > 0:/' $chaos
mutant 'age of relayed leases ignored' $cluster 's/m.LocalUntil/m.LeaseUntil/;s/l.Remaining-age/l.Remaining-0*age/' $chaos
mutant 'leases granted in full after a stall' $stall 's/return e.minions.Lease() - e.stall.waited(now)/return e.minions.Lease()/' $chaos
mutant 'minions without a lease get work' internal/minion/registry.go 's/!m.Draining \&\& m.LeaseUntil.After(now)/!m.Draining/' $chaos
mutant 'stopped with requests in progress' internal/engine/shutdown.go 's/^\t\treturn false$/\t\treturn true/' $chaos
mutant 'stall before the first input not seen' $engine 's/stall{last: cfg.StartedAt}/stall{last: cfg.StartedAt.Add(24 * time.Hour)}/' ./internal/engine FirstInput
mutant 'leases kept for a peer that was down' internal/link/link.go 's/^\t\t\t\tdropLeases(out)$//' ./internal/link Down
mutant 'answer identity not checked' $client 's/; got != identity {/; got == "" {/' ./internal/backend AnswerOfAnotherTask
exit $failed

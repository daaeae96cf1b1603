package suspect_test

import (
	"context"
	"testing"

	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// BenchmarkInnocent measures the overhead per request without suspicion: Admit, Begin
// and the end of the run.
func BenchmarkInnocent(b *testing.B) {
	tr := newTracker(3)
	ctx := context.Background()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for n := uint64(0); pb.Next(); n++ {
			fp := fingerprint(n)
			alone, _ := tr.Admit(ctx, fp)
			tr.Begin(fp, "replica-1", 1, alone)(suspect.Finished)
		}
	})
}

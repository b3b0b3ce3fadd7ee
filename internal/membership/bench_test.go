package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAll lists 176 peers, the number of hosts planned for in two years.
func BenchmarkAll(b *testing.B) {
	const hosts = 176
	list := make([]Host, hosts)
	for i := range list {
		list[i] = Host{Name: fmt.Sprintf("host-%d", i)}
	}
	v := NewView(time.Second, list)
	b.ReportAllocs()
	for b.Loop() {
		if len(v.All()) != hosts {
			b.Fatal("wrong number")
		}
	}
}

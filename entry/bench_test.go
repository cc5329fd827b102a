package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/trial"
)

// BenchmarkPath compares a call sent to a target directly with the same call
// through entry and guard, sequentially and concurrently, all in one process.
func BenchmarkPath(b *testing.B) {
	cl, err := trial.New(nil)
	require.NoError(b, err)
	defer cl.Close()
	ta, err := cl.AddTarget("lot-check-00", "lot-check", "recife-a", nil, &fake.Service{}, nil)
	require.NoError(b, err)
	no, err := cl.AddEntry("entry-0", "recife-a", nil)
	require.NoError(b, err)
	_, err = no.Apply(b.Context(), trial.SheetHeader+trial.LoanRow("lots", "lot-check", "lot-check-00", "sales-desk", core.Service, core.Normal, time.Hour))
	require.NoError(b, err)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	call := func(b *testing.B, url string) {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, strings.NewReader("lot"))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+trial.CallerToken)
		req.Header.Set("Bilberryshelf-Idempotent", "true")
		res, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close() // read above
		if res.StatusCode != http.StatusOK {
			b.Fatal(res.Status)
		}
	}
	for name, url := range map[string]string{
		"direct": ta.Settings.Engine.URL + "/lots", "through": no.URL + "/services/lot-check/lots",
	} {
		b.Run(name+"/one", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				call(b, url)
			}
		})
		b.Run(name+"/many", func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(2)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					call(b, url)
				}
			})
		})
	}
}

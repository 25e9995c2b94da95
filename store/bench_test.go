package store

import (
	"testing"

	"camphortrail/quorum"
)

// BenchmarkSave saves one entry of 1 KiB per iteration.
func BenchmarkSave(b *testing.B) {
	st, _, _, err := Open(b.TempDir(), 1)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = st.Close() }()
	data := make([]byte, 1<<10)
	next := quorum.Index(1)
	for b.Loop() {
		en := quorum.Entry{Index: next, Term: 1, Kind: quorum.DataEntry, Data: data}
		if err := st.Save(quorum.Persist{From: next, Entries: []quorum.Entry{en}}); err != nil {
			b.Fatal(err)
		}
		next++
	}
}

// BenchmarkOpen recovers a log of 8 MiB with 8,192 records per iteration.
func BenchmarkOpen(b *testing.B) {
	path := b.TempDir()
	st, _, _, err := Open(path, 1)
	if err != nil {
		b.Fatal(err)
	}
	data := make([]byte, 1<<10)
	for i := range quorum.Index(8192) {
		en := quorum.Entry{Index: i + 1, Term: 1, Kind: quorum.DataEntry, Data: data}
		if err := st.Save(quorum.Persist{From: i + 1, Entries: []quorum.Entry{en}}); err != nil {
			b.Fatal(err)
		}
	}
	for b.Loop() {
		if err := st.Close(); err != nil {
			b.Fatal(err)
		}
		if st, _, _, err = Open(path, 1); err != nil {
			b.Fatal(err)
		}
	}
	_ = st.Close()
}

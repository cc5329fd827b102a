package batch

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bilberryshelf/table"
)

// The tables of jobs. All rows of a job are in one part (partition), since a
// transaction can't span parts. The part of a partial text is the job's id while
// the job runs, and the name of its route afterwards.
const (
	HeadTable    = "job-head"
	BodyTable    = "job-body"
	ResultTable  = "job-result"
	PartialTable = "job-partial"
	SealTable    = "job-seal"
)

// partCount is the number of parts over which jobs are distributed: the write limit
// of the store (800 per second) divided by that of a part (200 per second).
const partCount = 4

// Parts returns the names of the parts that hold jobs.
func Parts() []string {
	all := make([]string, partCount)
	for at := range all {
		all[at] = partName(uint64(at))
	}
	return all
}

func partName(at uint64) string { return "p" + strconv.FormatUint(at, 10) }

// Part returns the part that holds a job.
func Part(job string) string { return partName(xxhash.Sum64String(job) % partCount) }

// MaxIDBytes is the maximum length of the id of a job or an item. The store accepts
// keys of up to 200 bytes, and a position and a count are appended to the id.
const MaxIDBytes = 160

// jobRange returns the range of a job's keys in a table, from a suffix on.
func jobRange(tab, job, from string) table.Range {
	return table.Range{Table: tab, Part: Part(job), From: job + "/" + from, To: job + "0"}
}

const (
	// maxChunkBytes is the maximum size of a row's value, slightly below the store's
	// limit of 64 KiB.
	maxChunkBytes = 60000
	// maxTxBytes is the maximum size of all values in a transaction. Its JSON, with
	// the values in base64, must stay below the store's limit of 1 MB.
	maxTxBytes = 600000
	// maxTxRows is the maximum number of rows in a transaction. It is below the
	// store's limit of 100 entries, in which the head counts twice and the seal once.
	maxTxRows = 90
)

// HeadID returns the id of the row that holds a job's head.
func HeadID(job string) table.ID { return table.ID{Table: HeadTable, Part: Part(job), Key: job} }

// sealID returns the id of the row that seals a job.
func sealID(job string) table.ID { return table.ID{Table: SealTable, Part: Part(job), Key: job} }

// sealValue is the value of that row, whose presence alone counts.
var sealValue = []byte("sealed")

// EncodeHead encodes a head as the value of its row.
func EncodeHead(he Head) []byte { return encode(he) }

// DecodeHead decodes a value that EncodeHead returned.
func DecodeHead(raw []byte) (Head, error) {
	var he Head
	return he, decode(raw, &he, "head of a job")
}

// chunks splits a value into pieces of at most maxChunkBytes; at least one.
func chunks(raw []byte) [][]byte {
	var out [][]byte
	for len(raw) > maxChunkBytes {
		out = append(out, raw[:maxChunkBytes])
		raw = raw[maxChunkBytes:]
	}
	return append(out, raw)
}

// chunkKey returns the key of one of count rows of a value. The count lets a reader detect
// missing rows. The keys of a value with 100 rows or more do not sort in their order.
func chunkKey(name string, at, count int) string { return fmt.Sprintf("%s.%02d.%02d", name, at, count) }

// chunk is a row that holds part of a value.
type chunk struct {
	name      string
	at, count int
	raw       []byte
}

// parseChunk parses the key of a row, which chunkKey returned.
func parseChunk(ro table.Row) (chunk, error) {
	name, number, count := ro.ID.Key, "", ""
	for _, field := range []*string{&count, &number} {
		dot := strings.LastIndexByte(name, '.')
		if dot < 0 {
			return chunk{}, errors.Newf("row key %q has no number and count", ro.ID.Key)
		}
		name, *field = name[:dot], name[dot+1:]
	}
	ch := chunk{name: name, raw: ro.Value}
	var err error
	if ch.at, err = strconv.Atoi(number); err != nil {
		return chunk{}, errors.Wrapf(err, "row key %q", ro.ID.Key)
	}
	if ch.count, err = strconv.Atoi(count); err != nil {
		return chunk{}, errors.Wrapf(err, "row key %q", ro.ID.Key)
	}
	if ch.at < 0 || ch.at >= ch.count {
		return chunk{}, errors.Newf("row key %q: number %d of %d", ro.ID.Key, ch.at, ch.count)
	}
	return ch, nil
}

// compareChunks orders the rows of each value by their number.
func compareChunks(lhs, rhs chunk) int {
	return cmp.Or(strings.Compare(lhs.name, rhs.name), cmp.Compare(lhs.count, rhs.count), cmp.Compare(lhs.at, rhs.at))
}

func chunkPuts(tab, part, name string, raw []byte) []table.Put {
	pieces := chunks(raw)
	puts := make([]table.Put, len(pieces))
	for at, pi := range pieces {
		puts[at] = table.Put{ID: table.ID{Table: tab, Part: part, Key: chunkKey(name, at, len(pieces))}, Value: pi}
	}
	return puts
}

// joinChunks reassembles values from their rows and calls take for each, in the order of
// their names. It omits values whose rows are incomplete.
func joinChunks(rows []table.Row, take func(name string, raw []byte) error) error {
	all := make([]chunk, len(rows))
	for at, ro := range rows {
		var err error
		if all[at], err = parseChunk(ro); err != nil {
			return err
		}
	}
	slices.SortFunc(all, compareChunks)
	for len(all) > 0 {
		first, size := all[0], 0
		end := slices.IndexFunc(all, func(ch chunk) bool { return ch.name != first.name || ch.count != first.count })
		if end < 0 {
			end = len(all)
		}
		value := all[:end]
		all = all[end:]
		if len(value) != first.count {
			continue
		}
		for _, ch := range value {
			size += len(ch.raw)
		}
		raw := make([]byte, 0, size)
		for _, ch := range value {
			raw = append(raw, ch.raw...)
		}
		if err := take(first.name, raw); err != nil {
			return err
		}
	}
	return nil
}

// SplitPuts splits puts into groups that fit one transaction each.
func SplitPuts(puts []table.Put) [][]table.Put {
	var (
		out  [][]table.Put
		from int
		size int
	)
	for at, pu := range puts {
		if at > from && (size+len(pu.Value) > maxTxBytes || at-from >= maxTxRows) {
			out, from, size = append(out, puts[from:at]), at, 0
		}
		size += len(pu.Value)
	}
	return append(out, puts[from:])
}

// EncodeJob encodes the body of a job as a single value.
func EncodeJob(jo *Job) []byte { return encode(jo) }

// DecodeJob decodes a value that EncodeJob returned.
func DecodeJob(raw []byte) (*Job, error) {
	jo := &Job{}
	return jo, decode(raw, jo, "body of a job")
}

// BodyPuts returns the rows of a job's body.
func BodyPuts(jo *Job) []table.Put {
	return chunkPuts(BodyTable, Part(jo.ID), jo.ID+"/body", encode(jo))
}

// DecodeBodyRows decodes a job from the rows of its body.
func DecodeBodyRows(rows []table.Row) (*Job, error) {
	var jo *Job
	err := joinChunks(rows, func(name string, raw []byte) error {
		if jo != nil {
			return errors.Newf("%s holds two bodies", name)
		}
		jo = &Job{}
		return decode(raw, jo, "body of a job")
	})
	if err == nil && jo == nil {
		err = errors.New("the body of a job is incomplete")
	}
	return jo, err
}

// positionKey returns a key that sorts results by position.
func positionKey(at int) string { return fmt.Sprintf("%08d", at) }

// ResultRange returns the range of a job's results from a position on.
func ResultRange(job string, from int) table.Range {
	return jobRange(ResultTable, job, positionKey(from))
}

// ResultPuts returns the rows of a result at a position.
func ResultPuts(job string, at int, re Result) []table.Put {
	return chunkPuts(ResultTable, Part(job), job+"/"+positionKey(at), encode(re))
}

// DecodeResults decodes consecutive results from a position on.
func DecodeResults(job string, rows []table.Row, from int) ([]Result, error) {
	var out []Result
	err := joinChunks(rows, func(name string, raw []byte) error {
		if name != job+"/"+positionKey(from+len(out)) {
			return errors.Newf("result %s found, want position %d", name, from+len(out))
		}
		var re Result
		if err := decode(raw, &re, "result"); err != nil {
			return err
		}
		out = append(out, re)
		return nil
	})
	return out, err
}

// PartialPuts returns the rows of a partial text in a part: a route or a job's id.
func PartialPuts(part string, pa Partial) []table.Put {
	return chunkPuts(PartialTable, part, pa.ID, addDigest(encode(pa)))
}

// DecodePartials decodes partial texts by item id. If a text was written several
// times, the longest is used. A text of which only some rows were replaced is
// omitted.
func DecodePartials(rows []table.Row) (map[string]Partial, error) {
	out := map[string]Partial{}
	err := joinChunks(rows, func(_ string, withDigest []byte) error {
		raw, intact := checkDigest(withDigest)
		if !intact {
			return nil
		}
		var pa Partial
		if err := decode(raw, &pa, "partial text"); err != nil {
			return err
		}
		if !pa.isUTF8() {
			return nil // stored by an earlier release; the item begins anew
		}
		if known, found := out[pa.ID]; found && len(known.Events) > len(pa.Events) {
			pa.Events, pa.Versions, pa.Complete = known.Events, known.Versions, known.Complete
		}
		out[pa.ID] = pa
		return nil
	})
	for _, ro := range rows {
		ch, err := parseChunk(ro)
		if pa, found := out[ch.name]; found && err == nil {
			pa.Rows = append(pa.Rows, ro.ID)
			out[ch.name] = pa
		}
	}
	return out, err
}

package batch

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bilberryshelf/table"
)

// The tables of jobs. All rows of a job lie in one part, so that one
// transaction may touch them. The part of partial texts is the job's
// id while it runs, and the trainer's route once it has ended.
const (
	HeadTable    = "job-head"
	BodyTable    = "job-body"
	ResultTable  = "job-result"
	PartialTable = "job-partial"
)

// partCount is the number of parts that jobs are dealt to: the writes a second that
// the store takes in all (800) over those that one part takes (200).
const partCount = 4

// Parts lists the parts that hold jobs.
func Parts() []string {
	all := make([]string, partCount)
	for at := range all {
		all[at] = partName(uint64(at))
	}
	return all
}

func partName(at uint64) string { return "p" + strconv.FormatUint(at, 10) }

// Part is the part that holds a job.
func Part(job string) string { return partName(xxhash.Sum64String(job) % partCount) }

// MaxIDBytes is the longest id of a job or an item, in bytes: the store takes keys
// of 200 bytes, and position and count are added.
const MaxIDBytes = 160

// jobRange is the range of the keys that belong to a job.
func jobRange(tab, job, from string) table.Range {
	return table.Range{Table: tab, Part: Part(job), From: job + "/" + from, To: job + "0"}
}

const (
	// maxChunkBytes is the largest value of a row, a little below the 64 KiB that
	// the platform's store takes.
	maxChunkBytes = 60000
	// maxTxBytes bounds the values of one transaction, so that its JSON with the
	// values in base64 stays below the 1 MB that the store takes.
	maxTxBytes = 600000
	// maxTxRows bounds the rows of one transaction, below the store's 100 entries
	// with the head in both lists.
	maxTxRows = 90
)

// HeadID is the row of a job's head.
func HeadID(job string) table.ID { return table.ID{Table: HeadTable, Part: Part(job), Key: job} }

// EncodeHead encodes a head.
func EncodeHead(he Head) []byte { return encode(he) }

// DecodeHead decodes a head.
func DecodeHead(raw []byte) (Head, error) {
	var he Head
	return he, decode(raw, &he, "head of a job")
}

// chunks splits a value into rows of the bounded size, at least one.
func chunks(raw []byte) [][]byte {
	var out [][]byte
	for len(raw) > maxChunkBytes {
		out = append(out, raw[:maxChunkBytes])
		raw = raw[maxChunkBytes:]
	}
	return append(out, raw)
}

// chunkKey orders the rows of one value. A digit of the count tells a reader
// whether it has them all.
func chunkKey(name string, at, count int) string { return fmt.Sprintf("%s.%02d.%02d", name, at, count) }

func splitChunkKey(key string) (name string, at, count int, err error) {
	if len(key) < 7 {
		return "", 0, 0, errors.Newf("row key %q is too short", key)
	}
	name = key[:len(key)-6]
	_, err = fmt.Sscanf(key[len(key)-6:], ".%02d.%02d", &at, &count)
	return name, at, count, errors.Wrapf(err, "row key %q", key)
}

func chunkPuts(tab, part, name string, raw []byte) []table.Put {
	pieces := chunks(raw)
	puts := make([]table.Put, len(pieces))
	for at, pi := range pieces {
		puts[at] = table.Put{ID: table.ID{Table: tab, Part: part, Key: chunkKey(name, at, len(pieces))}, Value: pi}
	}
	return puts
}

// joinChunks puts values together again, in the order of their rows. A value
// at the end whose rows are not all there is left out.
func joinChunks(rows []table.Row, take func(name string, raw []byte) error) error {
	var (
		raw  []byte
		next int
	)
	for _, ro := range rows {
		name, at, count, err := splitChunkKey(ro.ID.Key)
		if err != nil {
			return err
		}
		if at == 0 {
			raw, next = nil, 0
		}
		if at != next {
			return errors.Newf("row %s does not follow the one before", ro.ID.Key)
		}
		raw, next = append(raw, ro.Value...), next+1
		if next == count {
			if err := take(name, raw); err != nil {
				return err
			}
		}
	}
	return nil
}

// SplitPuts splits puts into transactions of a bounded size.
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

// EncodeJob encodes a job's body whole.
func EncodeJob(jo *Job) []byte { return encode(jo) }

// DecodeJob decodes a body that lies in one piece.
func DecodeJob(raw []byte) (*Job, error) {
	jo := &Job{}
	return jo, decode(raw, jo, "body of a job")
}

// BodyPuts writes a job's body.
func BodyPuts(jo *Job) []table.Put {
	return chunkPuts(BodyTable, Part(jo.ID), jo.ID+"/body", encode(jo))
}

// DecodeBodyRows reads a job from its body rows.
func DecodeBodyRows(rows []table.Row) (*Job, error) {
	var jo *Job
	err := joinChunks(rows, func(_ string, raw []byte) error {
		jo = &Job{}
		return decode(raw, jo, "body of a job")
	})
	if err == nil && jo == nil {
		err = errors.New("the body of a job is not whole")
	}
	return jo, err
}

// positionKey orders results by their position.
func positionKey(at int) string { return fmt.Sprintf("%08d", at) }

// ResultRange selects the results from a position on.
func ResultRange(job string, from int) table.Range {
	return jobRange(ResultTable, job, positionKey(from))
}

// ResultPuts writes a result at a position.
func ResultPuts(job string, at int, re Result) []table.Put {
	return chunkPuts(ResultTable, Part(job), job+"/"+positionKey(at), encode(re))
}

// DecodeResults reads whole results that follow each other from a position.
func DecodeResults(job string, rows []table.Row, from int) ([]Result, error) {
	var out []Result
	err := joinChunks(rows, func(name string, raw []byte) error {
		if name != job+"/"+positionKey(from+len(out)) {
			return errors.Newf("result %s stands where %d is due", name, from+len(out))
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

// PartialPuts writes what was generated of an item under a job or a route.
func PartialPuts(route string, pa Partial) []table.Put {
	return chunkPuts(PartialTable, route, pa.ID, addDigest(encode(pa)))
}

// DecodePartials reads partial texts by item id. Of a text that was written
// several times the longest counts; one of which only some rows were replaced is
// left out.
func DecodePartials(rows []table.Row) (map[string]Partial, error) {
	out := map[string]Partial{}
	err := joinChunks(rows, func(_ string, sealed []byte) error {
		raw, whole := checkDigest(sealed)
		if !whole {
			return nil
		}
		var pa Partial
		if err := decode(raw, &pa, "partial text"); err != nil {
			return err
		}
		if have, found := out[pa.ID]; found && len(have.Events) > len(pa.Events) {
			pa.Events, pa.Versions, pa.Complete = have.Events, have.Versions, have.Complete
		}
		out[pa.ID] = pa
		return nil
	})
	for _, ro := range rows {
		name, _, _, err := splitChunkKey(ro.ID.Key)
		if pa, found := out[name]; found && err == nil {
			pa.Rows = append(pa.Rows, ro.ID)
			out[name] = pa
		}
	}
	return out, err
}

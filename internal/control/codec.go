package control

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/pkg/errors"
)

// maxDocument bounds a decompressed document in bytes.
const maxDocument = 64 << 20

// writers keeps compressors, whose tables take a megabyte each.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestCompression)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// pack returns a document as records carry it.
func pack(document []byte) []byte {
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	_, _ = w.Write(document) // a buffer takes every write
	_ = w.Close()
	return out.Bytes()
}

// Document returns the document of a record.
func Document(r *peer.ConfigRecord) ([]byte, error) {
	in := flate.NewReader(bytes.NewReader(r.Document))
	document, err := io.ReadAll(io.LimitReader(in, maxDocument+1))
	if err != nil {
		return nil, errors.Wrapf(err, "document of version %d", r.Version)
	}
	if len(document) > maxDocument {
		return nil, errors.Errorf("document of version %d exceeds %d bytes", r.Version, maxDocument)
	}
	return document, nil
}

package control

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/pkg/errors"
)

// maxDocumentBytes is the maximum size of a decompressed document.
const maxDocumentBytes = 64 << 20

// compressors reuses DEFLATE compressors, whose tables take a megabyte each.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestCompression)
	if err != nil {
		panic(err) // unreachable: the level is valid
	}
	return w
}}

// compress returns the compressed form of a document, as stored in records.
func compress(document []byte) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	_, _ = w.Write(document) // bytes.Buffer returns no error
	_ = w.Close()
	return out.Bytes()
}

// Document returns the decompressed document of a record. It fails if the data
// is corrupt or the document exceeds maxDocumentBytes.
func Document(r *peer.ConfigRecord) ([]byte, error) {
	in := flate.NewReader(bytes.NewReader(r.Document))
	document, err := io.ReadAll(io.LimitReader(in, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "document of version %d", r.Version)
	}
	if len(document) > maxDocumentBytes {
		return nil, errors.Errorf("document of version %d exceeds %d bytes", r.Version, maxDocumentBytes)
	}
	return document, nil
}

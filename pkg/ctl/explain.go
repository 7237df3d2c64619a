package ctl

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/explain"
)

type explainCommand struct {
	app  *app
	Logs []string `long:"logs" required:"true" description:"file with log lines of instances, or directory with files NAME.log; repeatable"`
	Args struct {
		ID string `positional-arg-name:"ID" required:"true" description:"id of the request"`
	} `positional-args:"true"`
}

// Execute prints what the logs tell of the request.
func (c *explainCommand) Execute([]string) error {
	files, err := logFiles(c.Logs)
	if err != nil {
		return err
	}
	explanation, err := explain.Explain(c.Args.ID, func() (io.ReadCloser, error) { return openAll(files) })
	if err != nil {
		return err
	}
	return c.app.print(explanation, func(w io.Writer) { _, _ = io.WriteString(w, explanation.Text()) })
}

// logFiles returns the files at the paths, and of directories the files NAME.log. Errors:
// *UsageError.
func logFiles(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, errors.WithStack(&UsageError{Reason: err.Error()})
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		entries, err := os.ReadDir(path)
		if err != nil {
			return nil, errors.WithStack(&UsageError{Reason: err.Error()})
		}
		for _, entry := range entries {
			if entry.Type().IsRegular() && filepath.Ext(entry.Name()) == ".log" {
				files = append(files, filepath.Join(path, entry.Name()))
			}
		}
	}
	return files, nil
}

// fileReader reads files one after the other. Each is opened when the one before ends, as
// there may be more files than descriptors.
type fileReader struct {
	files []string
	open  *os.File
}

func openAll(files []string) (io.ReadCloser, error) { return &fileReader{files: files}, nil }

// Read reads from the first file that has not ended. A file that does not end with a
// newline does not run into the next one.
func (r *fileReader) Read(p []byte) (int, error) {
	for {
		if r.open == nil {
			if len(r.files) == 0 {
				return 0, io.EOF
			}
			file, err := os.Open(r.files[0])
			if err != nil {
				return 0, errors.WithStack(err)
			}
			r.files, r.open = r.files[1:], file
		}
		n, err := r.open.Read(p)
		if n > 0 || !errors.Is(err, io.EOF) {
			return n, err
		}
		if err := r.Close(); err != nil {
			return 0, err
		}
		if len(p) > 0 {
			p[0] = '\n'
			return 1, nil
		}
	}
}

// Close closes the file that is open.
func (r *fileReader) Close() error {
	if r.open == nil {
		return nil
	}
	err := r.open.Close()
	r.open = nil
	return errors.WithStack(err)
}

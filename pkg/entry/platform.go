package entry

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/platform/dynamo"
	"github.com/arbutuslink/arbutuslink/pkg/platform/instancelist"
	"github.com/arbutuslink/arbutuslink/pkg/platform/s3"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// platformAdapters are the clients of the platform's table, object store and
// instance list.
type platformAdapters struct {
	table   platform.Table
	objects platform.ObjectStore
	list    platform.InstanceList
}

func newPlatformAdapters(p settings.Platform) *platformAdapters {
	table := dynamo.New(dynamo.Options{
		Endpoint: p.TableEndpoint, Region: p.Region, Table: p.TableName,
		AccessKeyID: p.AccessKeyID, SecretAccessKey: p.SecretAccessKey,
	})
	objects := s3.New(s3.Options{
		Endpoint: p.ObjectEndpoint, Region: p.Region, Bucket: p.Bucket,
		AccessKeyID: p.AccessKeyID, SecretAccessKey: p.SecretAccessKey,
	})
	return &platformAdapters{
		table:   &timeoutTable{table, p.Timeout()},
		objects: &timeoutObjectStore{objects, p.Timeout()},
		list:    instancelist.New(instancelist.Options{URL: p.ListURL, Timeout: p.Timeout()}),
	}
}

// timeoutTable is a table whose calls each have a timeout.
type timeoutTable struct {
	platform.Table
	timeout time.Duration
}

// Get reads a row.
func (t *timeoutTable) Get(ctx context.Context, key string) (platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Get(ctx, key)
}

// Put writes a row.
func (t *timeoutTable) Put(ctx context.Context, key string, item platform.Item, cond platform.Condition) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Put(ctx, key, item, cond)
}

// Delete removes a row.
func (t *timeoutTable) Delete(ctx context.Context, key string, cond platform.Condition) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Delete(ctx, key, cond)
}

// timeoutObjectStore is an object store whose calls each have a timeout.
type timeoutObjectStore struct {
	platform.ObjectStore
	timeout time.Duration
}

// Get reads an object.
func (o *timeoutObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.ObjectStore.Get(ctx, name)
}

// Put writes an object.
func (o *timeoutObjectStore) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.ObjectStore.Put(ctx, name, data)
}

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

// services are the adapters to the platform.
type services struct {
	table   platform.Table
	objects platform.ObjectStore
	list    platform.InstanceList
}

func newServices(p settings.Platform) *services {
	table := dynamo.New(dynamo.Options{
		Endpoint: p.TableEndpoint, Region: p.Region, Table: p.TableName,
		AccessKeyID: p.AccessKeyID, SecretAccessKey: p.SecretAccessKey,
	})
	objects := s3.New(s3.Options{
		Endpoint: p.ObjectEndpoint, Region: p.Region, Bucket: p.Bucket,
		AccessKeyID: p.AccessKeyID, SecretAccessKey: p.SecretAccessKey,
	})
	return &services{
		table:   &boundedTable{table, p.Timeout()},
		objects: &boundedObjects{objects, p.Timeout()},
		list:    instancelist.New(instancelist.Options{URL: p.ListURL, Timeout: p.Timeout()}),
	}
}

// boundedTable bounds the time of each call.
type boundedTable struct {
	platform.Table
	timeout time.Duration
}

// Get reads a row.
func (t *boundedTable) Get(ctx context.Context, key string) (platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Get(ctx, key)
}

// Put writes a row.
func (t *boundedTable) Put(ctx context.Context, key string, item platform.Item, cond platform.Condition) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Put(ctx, key, item, cond)
}

// Delete removes a row.
func (t *boundedTable) Delete(ctx context.Context, key string, cond platform.Condition) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	return t.Table.Delete(ctx, key, cond)
}

// boundedObjects bounds the time of each call.
type boundedObjects struct {
	platform.ObjectStore
	timeout time.Duration
}

// Get reads an object.
func (o *boundedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.ObjectStore.Get(ctx, name)
}

// Put writes an object.
func (o *boundedObjects) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return o.ObjectStore.Put(ctx, name, data)
}

// Package s3 implements platform.ObjectStore over the S3 API.
package s3

import (
	"bytes"
	"context"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// preconditionFailed is the S3 error code of a Put with an existing name.
const preconditionFailed = "PreconditionFailed"

// Options configure a Store.
type Options struct {
	// Endpoint is the base URL of the service; the bucket is in the path.
	Endpoint        string
	Region          string
	Bucket          string
	AccessKeyID     string
	SecretAccessKey string
	// SessionToken is empty for permanent credentials.
	SessionToken string
	// HTTPClient sends the requests; nil uses the client of the SDK.
	HTTPClient aws.HTTPClient
}

// Store is one bucket. It is safe for concurrent use.
type Store struct {
	client *s3.Client
	bucket string
}

var _ platform.ObjectStore = (*Store)(nil)

// New returns a client of the bucket; it does not connect. Each Put makes one
// attempt. net/http retries a Get once when a reused connection closes before the
// answer. Calls are bounded by their context only.
func New(o Options) *Store {
	if o.HTTPClient == nil {
		o.HTTPClient = awshttp.NewBuildableClient()
	}
	credentials := aws.Credentials{
		AccessKeyID: o.AccessKeyID, SecretAccessKey: o.SecretAccessKey, SessionToken: o.SessionToken,
	}
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(o.Endpoint),
		Region:                     o.Region,
		UsePathStyle:               true,
		Retryer:                    aws.NopRetryer{},
		HTTPClient:                 http1.Client{Doer: o.HTTPClient},
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		// A negative threshold never sends Expect: 100-continue, which would
		// add a round trip to large objects.
		ContinueHeaderThresholdBytes: -1,
		Credentials: aws.CredentialsProviderFunc(func(context.Context) (aws.Credentials, error) {
			return credentials, nil
		}),
	})
	return &Store{client: client, bucket: o.Bucket}
}

// Get reads a whole object. A truncated body is an UnavailableError.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := s.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(s.bucket), Key: aws.String(name)})
	if err != nil {
		var missing *types.NoSuchKey
		if errors.As(err, &missing) {
			return nil, errors.WithStack(&platform.NotFoundError{Name: name})
		}
		return nil, unavailable("object get", name, err)
	}
	data, err := io.ReadAll(out.Body)
	closeErr := out.Body.Close()
	if err = errors.CombineErrors(err, closeErr); err != nil {
		return nil, unavailable("object get", name, err)
	}
	return data, nil
}

// Put stores an object unless one with the name exists.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(s.bucket), Key: aws.String(name), Body: bytes.NewReader(data),
		ContentLength: aws.Int64(int64(len(data))), IfNoneMatch: aws.String("*"),
	})
	if err == nil {
		return nil
	}
	var api smithy.APIError
	if errors.As(err, &api) && api.ErrorCode() == preconditionFailed {
		return errors.WithStack(&platform.ConditionError{Name: name})
	}
	return unavailable("object put", name, err)
}

func unavailable(operation, name string, cause error) error {
	return errors.WithStack(&platform.UnavailableError{Operation: operation + " " + name, Cause: cause})
}

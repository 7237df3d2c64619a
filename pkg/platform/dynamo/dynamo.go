// Package dynamo implements platform.Table over the DynamoDB API. The table
// has one string hash key named "key"; all other attributes are strings.
package dynamo

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

const keyAttribute = "key"

// Options configure a Table.
type Options struct {
	// Endpoint is the base URL of the service.
	Endpoint string
	Region   string
	// Table is the name of the table.
	Table           string
	AccessKeyID     string
	SecretAccessKey string
	// SessionToken is empty for permanent credentials.
	SessionToken string
	// HTTPClient sends the requests; nil uses the client of the SDK.
	HTTPClient aws.HTTPClient
}

// AttributeError reports that an item to write has an attribute with the reserved
// name "key", or that a stored item has an attribute of a type other than string.
type AttributeError struct{ Name string }

// Error names the attribute.
func (e *AttributeError) Error() string {
	return "dynamo: attribute " + e.Name + " is reserved or not a string"
}

// Table is one table. It is safe for concurrent use.
type Table struct {
	client *dynamodb.Client
	name   string
}

var _ platform.Table = (*Table)(nil)

// New returns a client of the table; it does not connect. Each call makes one
// attempt: a retried conditional write would fail its condition if the first
// attempt took effect. Calls are bounded by their context only.
func New(o Options) *Table {
	if o.HTTPClient == nil {
		o.HTTPClient = awshttp.NewBuildableClient()
	}
	credentials := aws.Credentials{
		AccessKeyID: o.AccessKeyID, SecretAccessKey: o.SecretAccessKey, SessionToken: o.SessionToken,
	}
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(o.Endpoint),
		Region:       o.Region,
		Retryer:      aws.NopRetryer{},
		HTTPClient:   http1.Client{Doer: o.HTTPClient},
		Credentials: aws.CredentialsProviderFunc(func(context.Context) (aws.Credentials, error) {
			return credentials, nil
		}),
	})
	return &Table{client: client, name: o.Table}
}

// keyAttributes returns the attributes that hold the hash key of a row.
func keyAttributes(key string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{keyAttribute: &types.AttributeValueMemberS{Value: key}}
}

// Get reads a row consistently.
func (t *Table) Get(ctx context.Context, key string) (platform.Item, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: aws.String(t.name), Key: keyAttributes(key), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return nil, mapError("table get", key, err)
	}
	if out.Item == nil {
		return nil, errors.WithStack(&platform.NotFoundError{Name: key})
	}
	item := make(platform.Item, len(out.Item))
	for name, value := range out.Item {
		if name == keyAttribute {
			continue
		}
		text, ok := value.(*types.AttributeValueMemberS)
		if !ok {
			return nil, mapError("table get", key, &AttributeError{Name: name})
		}
		item[name] = text.Value
	}
	return item, nil
}

// Put writes a row. An item with an attribute named "key" fails with
// *AttributeError before anything is sent.
func (t *Table) Put(ctx context.Context, key string, item platform.Item, cond platform.Condition) error {
	attributes := keyAttributes(key)
	for name, value := range item {
		if name == keyAttribute {
			return errors.WithStack(&AttributeError{Name: name})
		}
		attributes[name] = &types.AttributeValueMemberS{Value: value}
	}
	expression, names, values := conditionExpression(cond)
	_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName: aws.String(t.name), Item: attributes, ConditionExpression: expression,
		ExpressionAttributeNames: names, ExpressionAttributeValues: values,
	})
	return mapError("table put", key, err)
}

// Delete removes a row. Without a condition, a missing row is no error.
func (t *Table) Delete(ctx context.Context, key string, cond platform.Condition) error {
	expression, names, values := conditionExpression(cond)
	_, err := t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
		TableName: aws.String(t.name), Key: keyAttributes(key), ConditionExpression: expression,
		ExpressionAttributeNames: names, ExpressionAttributeValues: values,
	})
	return mapError("table delete", key, err)
}

// conditionExpression returns a condition as a DynamoDB expression with the
// attribute names and values that it refers to.
func conditionExpression(c platform.Condition) (*string, map[string]string, map[string]types.AttributeValue) {
	switch {
	case c.Absent:
		return aws.String("attribute_not_exists(#a)"), map[string]string{"#a": keyAttribute}, nil
	case c.Attribute == "":
		return nil, nil, nil
	default:
		return aws.String("#a = :v"), map[string]string{"#a": c.Attribute},
			map[string]types.AttributeValue{":v": &types.AttributeValueMemberS{Value: c.Equals}}
	}
}

// mapError maps a failed condition to *platform.ConditionError and every other
// failure to *platform.UnavailableError. The latter includes a missing table,
// which must not look like a missing row.
func mapError(operation, key string, err error) error {
	if err == nil {
		return nil
	}
	var failed *types.ConditionalCheckFailedException
	if errors.As(err, &failed) {
		return errors.WithStack(&platform.ConditionError{Name: key})
	}
	return errors.WithStack(&platform.UnavailableError{Operation: operation + " " + key, Cause: err})
}

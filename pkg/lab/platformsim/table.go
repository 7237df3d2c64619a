package platformsim

import (
	"encoding/json"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

const (
	// targetPrefix precedes the operation in the X-Amz-Target header.
	targetPrefix = "DynamoDB_20120810."
	// errorNamespace precedes the type of an error in a response.
	errorNamespace = "com.amazonaws.dynamodb.v20120810#"
	validation     = "ValidationException"
	// keyName is the name of the primary key attribute.
	keyName = "key"
)

// attribute is an attribute value; only strings are supported.
type attribute struct {
	S *string `json:"S"`
}

// tableRequest is the body of a request for any of the supported operations.
type tableRequest struct {
	TableName                 string
	Key                       map[string]attribute
	Item                      map[string]attribute
	ConsistentRead            bool
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attribute
	// The fields below are decoded so that DisallowUnknownFields accepts them;
	// their values are ignored.
	ReturnValues                        string
	ReturnConsumedCapacity              string
	ReturnItemCollectionMetrics         string
	ReturnValuesOnConditionCheckFailure string
}

// apiError is an error response of the DynamoDB API.
type apiError struct {
	Type    string `json:"__type"`
	Message string `json:"message"`
}

// Error returns the type and the message.
func (e *apiError) Error() string { return e.Type + ": " + e.Message }

func validationError(message string) error { return &apiError{Type: validation, Message: message} }

func (s *Server) serveTable(ctx *fasthttp.RequestCtx) {
	operation, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("X-Amz-Target")), targetPrefix)
	k := tableWrite
	if operation == "GetItem" {
		k = tableRead
	}
	s.withFaults(ctx, k, func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/x-amz-json-1.0")
		if !ok {
			writeTableError(ctx, &apiError{Type: "UnknownOperationException"})
			return
		}
		result, err := s.runTableOperation(operation, ctx.PostBody())
		if err != nil {
			writeTableError(ctx, err)
			return
		}
		ctx.SetBody(result)
	})
}

func (s *Server) runTableOperation(operation string, body []byte) ([]byte, error) {
	var request tableRequest
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return nil, &apiError{Type: "SerializationException", Message: err.Error()}
	}
	if request.TableName != s.options.Table {
		return nil, &apiError{Type: "ResourceNotFoundException", Message: "Requested resource not found"}
	}
	switch operation {
	case "GetItem":
		return s.getItem(&request)
	case "PutItem":
		return s.putItem(&request)
	case "DeleteItem":
		return s.deleteItem(&request)
	default:
		return nil, &apiError{Type: "UnknownOperationException", Message: operation}
	}
}

func (s *Server) getItem(request *tableRequest) ([]byte, error) {
	if !request.ConsistentRead {
		return nil, validationError("the simulator serves consistent reads only")
	}
	key, err := keyOf(request.Key, true)
	if err != nil {
		return nil, err
	}
	item, err := s.state.Table().Get(s.context, key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return []byte("{}"), nil
	}
	if err != nil {
		return nil, err
	}
	attributes := map[string]attribute{keyName: {S: &key}}
	for name, value := range item {
		attributes[name] = attribute{S: &value}
	}
	return json.Marshal(map[string]any{"Item": attributes})
}

func (s *Server) putItem(request *tableRequest) ([]byte, error) {
	key, err := keyOf(request.Item, false)
	if err != nil {
		return nil, err
	}
	item := platform.Item{}
	for name, value := range request.Item {
		if value.S == nil {
			return nil, validationError("attribute " + name + " is not a string")
		}
		if name != keyName {
			item[name] = *value.S
		}
	}
	condition, err := request.condition()
	if err != nil {
		return nil, err
	}
	return []byte("{}"), s.state.Table().Put(s.context, key, item, condition)
}

func (s *Server) deleteItem(request *tableRequest) ([]byte, error) {
	key, err := keyOf(request.Key, true)
	if err != nil {
		return nil, err
	}
	condition, err := request.condition()
	if err != nil {
		return nil, err
	}
	return []byte("{}"), s.state.Table().Delete(s.context, key, condition)
}

// keyOf returns the primary key among the attributes; only means that there must
// be no other attribute.
func keyOf(attributes map[string]attribute, only bool) (string, error) {
	key := attributes[keyName].S
	if key == nil || *key == "" || (only && len(attributes) != 1) {
		return "", validationError("The provided key element does not match the schema")
	}
	return *key, nil
}

var (
	absentPattern = regexp.MustCompile(`^attribute_not_exists\s*\(\s*(#?\w+)\s*\)$`)
	equalsPattern = regexp.MustCompile(`^(#?\w+)\s*=\s*(:\w+)$`)
)

// condition parses the condition expression, which must have one of the two forms
// of platform.Condition.
func (r *tableRequest) condition() (platform.Condition, error) {
	expression := strings.TrimSpace(r.ConditionExpression)
	if expression == "" {
		return platform.Condition{}, nil
	}
	if m := absentPattern.FindStringSubmatch(expression); m != nil {
		name, err := r.attributeName(m[1])
		if err != nil {
			return platform.Condition{}, err
		}
		if name != keyName {
			return platform.Condition{}, validationError("attribute_not_exists is served for the key only")
		}
		return platform.Condition{Absent: true}, nil
	}
	m := equalsPattern.FindStringSubmatch(expression)
	if m == nil {
		return platform.Condition{}, validationError("Invalid ConditionExpression: " + expression)
	}
	name, err := r.attributeName(m[1])
	if err != nil {
		return platform.Condition{}, err
	}
	value := r.ExpressionAttributeValues[m[2]].S
	if value == nil {
		return platform.Condition{}, validationError("value " + m[2] + " is not defined")
	}
	return platform.Condition{Attribute: name, Equals: *value}, nil
}

// attributeName resolves a token of a condition, which is a name or a placeholder
// that starts with #.
func (r *tableRequest) attributeName(token string) (string, error) {
	if !strings.HasPrefix(token, "#") {
		return token, nil
	}
	name, ok := r.ExpressionAttributeNames[token]
	if !ok {
		return "", validationError("name " + token + " is not defined")
	}
	return name, nil
}

func writeTableError(ctx *fasthttp.RequestCtx, err error) {
	answer := &apiError{Type: "InternalServerError"}
	status := fasthttp.StatusBadRequest
	var failed *platform.ConditionError
	switch {
	case errors.As(err, &failed):
		answer = &apiError{Type: "ConditionalCheckFailedException", Message: "The conditional request failed"}
	case errors.As(err, &answer):
	default:
		status = fasthttp.StatusInternalServerError
	}
	body, marshalErr := json.Marshal(&apiError{Type: errorNamespace + answer.Type, Message: answer.Message})
	if marshalErr != nil {
		status = fasthttp.StatusInternalServerError
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}

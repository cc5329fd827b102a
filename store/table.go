package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"

	"bilberryshelf/limit"
	"bilberryshelf/strict"
)

// Access is the address of a platform service, the credentials for it and the timeout of a
// call. Zero values of Region and Timeout select defaults.
type Access struct {
	URL     string
	Region  string
	KeyID   string
	Secret  string
	Timeout time.Duration
}

// defaultTimeout bounds a call if Access sets no timeout.
const defaultTimeout = 2 * time.Second

func (ac Access) timeout() time.Duration {
	if ac.Timeout <= 0 {
		return defaultTimeout
	}
	return ac.Timeout
}

func (ac Access) region() string {
	if ac.Region == "" {
		return "local"
	}
	return ac.Region
}

func (ac Access) credentials() aws.CredentialsProvider {
	return credentials.NewStaticCredentialsProvider(ac.KeyID, ac.Secret, "")
}

func (ac Access) client() *http.Client {
	return &http.Client{Transport: wholeResponses{}, Timeout: ac.timeout()}
}

// wholeResponses is a transport that returns a response once its body has arrived. The vendor's
// client library ignores errors of bodies that it does not need, and a call whose response broke
// off would count as successful.
type wholeResponses struct{}

// RoundTrip sends a request and reads the complete response.
func (wholeResponses) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := strict.Default.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close() // the body has been read; a failed close loses nothing
	body, err := limit.ReadAll(res.Body, maxObjectBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read the response")
	}
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res, nil
}

// Table is a client of one table of the platform's transactional table service.
type Table struct {
	client *dynamodb.Client
	name   string
}

// keyAttribute is the attribute that holds the primary key.
const keyAttribute = "key"

// NewTable returns a client of a table. The retries of the library are disabled, since the
// callers decide whether a write may be retried.
func NewTable(ac Access, name string) *Table {
	return &Table{name: name, client: dynamodb.New(dynamodb.Options{
		BaseEndpoint:     aws.String(ac.URL),
		Region:           ac.region(),
		Credentials:      ac.credentials(),
		HTTPClient:       ac.client(),
		RetryMaxAttempts: 1,
	})}
}

// Get reads one row, without its key. It returns ErrNoRow if the row does not exist.
func (ta *Table) Get(ctx context.Context, key string) (Row, error) {
	out, err := ta.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(ta.name),
		ConsistentRead: aws.Bool(true),
		Key:            map[string]types.AttributeValue{keyAttribute: text(key)},
	})
	if err != nil {
		return nil, errors.Wrapf(err, "read row %s", key)
	}
	if len(out.Item) == 0 {
		return nil, ErrNoRow
	}
	row := Row{}
	for na, value := range out.Item {
		if member, ok := value.(*types.AttributeValueMemberS); ok && na != keyAttribute {
			row[na] = member.Value
		}
	}
	return row, nil
}

// Transact writes all rows or none. It returns ErrCondition if a condition does not hold.
// After any other error it is unknown whether the transaction took effect.
func (ta *Table) Transact(ctx context.Context, puts []Put) error {
	items := make([]types.TransactWriteItem, 0, len(puts))
	for _, pu := range puts {
		items = append(items, types.TransactWriteItem{Put: ta.put(pu)})
	}
	_, err := ta.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) && conditionFailed(cancelled) {
		return ErrCondition
	}
	return errors.Wrap(err, "write rows")
}

func conditionFailed(cancelled *types.TransactionCanceledException) bool {
	for _, re := range cancelled.CancellationReasons {
		if aws.ToString(re.Code) == "ConditionalCheckFailed" {
			return true
		}
	}
	return false
}

func (ta *Table) put(pu Put) *types.Put {
	item := map[string]types.AttributeValue{keyAttribute: text(pu.Key)}
	for na, value := range pu.Row {
		item[na] = text(value)
	}
	put := &types.Put{TableName: aws.String(ta.name), Item: item}
	switch pu.When.Kind {
	case KindAbsent:
		put.ConditionExpression = aws.String("attribute_not_exists(#k)")
		put.ExpressionAttributeNames = map[string]string{"#k": keyAttribute}
	case KindEquals:
		put.ConditionExpression = aws.String("#a = :v")
		put.ExpressionAttributeNames = map[string]string{"#a": pu.When.Attribute}
		put.ExpressionAttributeValues = map[string]types.AttributeValue{":v": text(pu.When.Value)}
	}
	return put
}

func text(value string) types.AttributeValue { return &types.AttributeValueMemberS{Value: value} }

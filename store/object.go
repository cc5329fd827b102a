package store

import (
	"bytes"
	"context"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/cockroachdb/errors"

	"bilberryshelf/limit"
)

// Objects is a client of one bucket of the platform's object store.
type Objects struct {
	client *s3.Client
	bucket string
}

// NewObjects returns a client of a bucket. The retries of the library are disabled.
func NewObjects(ac Access, bucket string) *Objects {
	return &Objects{bucket: bucket, client: s3.New(s3.Options{
		BaseEndpoint:               aws.String(ac.URL),
		Region:                     ac.region(),
		Credentials:                ac.credentials(),
		HTTPClient:                 ac.client(),
		RetryMaxAttempts:           1,
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})}
}

// maxObjectBytes is the largest object that is read: a book, or the keys of a guard.
const maxObjectBytes = 64 << 20

// Write stores an object and replaces an earlier one.
func (ob *Objects) Write(ctx context.Context, key string, body []byte) error {
	_, err := ob.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(ob.bucket), Key: aws.String(key), Body: bytes.NewReader(body),
	})
	return errors.Wrapf(err, "write object %s", key)
}

// Read returns the content of an object. It returns ErrNoRow if the object does not exist.
func (ob *Objects) Read(ctx context.Context, key string) ([]byte, error) {
	out, err := ob.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(ob.bucket), Key: aws.String(key)})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, ErrNoRow
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read object %s", key)
	}
	defer out.Body.Close() // the body has been read; a failed close loses nothing
	body, err := limit.ReadAll(out.Body, maxObjectBytes)
	return body, errors.Wrapf(err, "read object %s", key)
}

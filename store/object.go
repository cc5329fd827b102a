package store

import (
	"bytes"
	"context"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/cockroachdb/errors"
)

// Objects is one bucket of the platform's object store.
type Objects struct {
	client *s3.Client
	bucket string
}

// NewObjects connects to a bucket, without the library's own retries.
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

// Write stores an object whole.
func (ob *Objects) Write(ctx context.Context, key string, body []byte) error {
	_, err := ob.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(ob.bucket), Key: aws.String(key), Body: bytes.NewReader(body),
	})
	return errors.Wrapf(err, "write object %s", key)
}

// Read fetches an object whole. It returns ErrNoRow if there is none.
func (ob *Objects) Read(ctx context.Context, key string) ([]byte, error) {
	out, err := ob.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(ob.bucket), Key: aws.String(key)})
	var none *types.NoSuchKey
	if errors.As(err, &none) {
		return nil, ErrNoRow
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read object %s", key)
	}
	defer out.Body.Close() // a failed close of a read body loses nothing
	body, err := io.ReadAll(out.Body)
	return body, errors.Wrapf(err, "read object %s", key)
}

package claim

import (
	"time"

	"camphortrail/call"
	"camphortrail/schema"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// ErrBadOperation is returned when an operation can't be converted to or from its
// protobuf message.
var ErrBadOperation = errors.New("claim: message is not an operation")

// FromSchema converts a protobuf message to an operation. It returns ErrBadOperation if
// the attempt id does not have the length of a call.AttemptID or the kind is unknown.
func FromSchema(msg *schema.ClaimOperation) (Operation, error) {
	var at call.AttemptID
	if copy(at[:], msg.GetAttemptId()) != len(at) || len(msg.GetAttemptId()) != len(at) {
		return nil, errors.Wrap(ErrBadOperation, "attempt id")
	}
	tn, key, ep := call.Deployment(msg.GetTenant()), Key(msg.GetKey()), Epoch(msg.GetEpoch())
	switch msg.GetKind() {
	case schema.ClaimOperation_KIND_CLAIM:
		return Claim{
			Tenant:    tn,
			Key:       key,
			Attempt:   at,
			Digest:    Digest(msg.GetDigest()),
			Retention: time.Duration(msg.GetRetentionS()) * time.Second,
		}, nil
	case schema.ClaimOperation_KIND_COMPLETE:
		answer, err := marshalAnswer(msg.GetAnswer())
		if err != nil {
			return nil, err
		}
		return Complete{Tenant: tn, Key: key, Attempt: at, Epoch: ep, Answer: answer}, nil
	case schema.ClaimOperation_KIND_RELEASE:
		return Release{Tenant: tn, Key: key, Attempt: at, Epoch: ep}, nil
	}
	return nil, errors.Wrapf(ErrBadOperation, "kind %d", msg.GetKind())
}

// ToSchema converts an operation to its protobuf message. It returns ErrBadOperation for
// a Complete whose answer is not an encoded schema.RecordedAnswer.
func ToSchema(op Operation) (*schema.ClaimOperation, error) {
	switch op := op.(type) {
	case Claim:
		return &schema.ClaimOperation{
			Kind:       schema.ClaimOperation_KIND_CLAIM,
			Tenant:     string(op.Tenant),
			Key:        string(op.Key),
			AttemptId:  op.Attempt[:],
			Digest:     []byte(op.Digest),
			RetentionS: uint32(op.Retention / time.Second),
		}, nil
	case Complete:
		answer, err := unmarshalAnswer(op.Answer)
		if err != nil {
			return nil, err
		}
		return &schema.ClaimOperation{
			Kind:      schema.ClaimOperation_KIND_COMPLETE,
			Tenant:    string(op.Tenant),
			Key:       string(op.Key),
			AttemptId: op.Attempt[:],
			Epoch:     uint64(op.Epoch),
			Answer:    answer,
		}, nil
	case Release:
		return &schema.ClaimOperation{
			Kind:      schema.ClaimOperation_KIND_RELEASE,
			Tenant:    string(op.Tenant),
			Key:       string(op.Key),
			AttemptId: op.Attempt[:],
			Epoch:     uint64(op.Epoch),
		}, nil
	}
	return nil, errors.Wrapf(ErrBadOperation, "%T", op)
}

// ResultToSchema converts a result to its protobuf message. It returns ErrBadOperation
// if the answer is not an encoded schema.RecordedAnswer.
func ResultToSchema(res Result) (*schema.ClaimResult, error) {
	answer, err := unmarshalAnswer(res.Answer)
	if err != nil {
		return nil, err
	}
	return &schema.ClaimResult{
		State:  schemaState(res.State),
		Epoch:  uint64(res.Epoch),
		Answer: answer,
	}, nil
}

// schemaState converts a state to its protobuf value. Released has no value of its own:
// it is the result of a successful Release only, and is sent as STATE_GRANTED.
func schemaState(st State) schema.ClaimResult_State {
	switch st {
	case Granted, Released:
		return schema.ClaimResult_STATE_GRANTED
	case Held:
		return schema.ClaimResult_STATE_HELD
	case Finished:
		return schema.ClaimResult_STATE_FINISHED
	case Mismatch:
		return schema.ClaimResult_STATE_MISMATCH
	case Fenced:
		return schema.ClaimResult_STATE_FENCED
	case Full:
		return schema.ClaimResult_STATE_FULL
	}
	return schema.ClaimResult_STATE_UNSPECIFIED
}

// marshalAnswer encodes an answer. It returns nil if there is none. The encoding is
// deterministic so that the tables of all replicas are equal.
func marshalAnswer(msg *schema.RecordedAnswer) ([]byte, error) {
	if msg == nil {
		return nil, nil
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	return data, errors.Wrap(err, "claim: encode answer")
}

// unmarshalAnswer decodes an answer. It returns nil if the data is empty.
func unmarshalAnswer(data []byte) (*schema.RecordedAnswer, error) {
	if len(data) == 0 {
		return nil, nil
	}
	msg := &schema.RecordedAnswer{}
	if err := proto.Unmarshal(data, msg); err != nil {
		return nil, errors.Wrap(ErrBadOperation, err.Error())
	}
	return msg, nil
}

package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/idempotency"
)

// keyClaim is a granted claim of a request's idempotency key.
type keyClaim struct {
	key       idempotency.Key
	id        idempotency.ClaimID
	claimedAt time.Time
}

// claimKey claims the idempotency key of a request. If the claim is not granted, it returns a
// problem with the outcome unknown, since an earlier request with the key may have run.
func (g *Gateway) claimKey(ctx context.Context, headers requestHeaders) (*keyClaim, *problem) {
	claim := &keyClaim{key: idempotency.KeyOf(headers.flow, headers.key), claimedAt: g.now()}
	id, result := g.keys.Claim(ctx, claim.key)
	claim.id = id
	switch result {
	case idempotency.Granted:
		return claim, nil
	case idempotency.AlreadyClaimed:
		return nil, &problem{
			outcome: outcomeUnknown, status: http.StatusBadGateway, reason: reasonKeyUsed,
			detail: "an earlier request with this idempotency key may have run",
		}
	default:
		return nil, &problem{
			outcome: outcomeUnknown, status: http.StatusBadGateway, reason: reasonKeyUnknown,
			detail: "it is not known whether an earlier request with this idempotency key has run; this one was not sent",
		}
	}
}

// expired reports whether the claim is too old to dispatch the request.
func (c *keyClaim) expired(now time.Time) bool {
	return now.Sub(c.claimedAt) >= idempotency.ClaimValidity
}

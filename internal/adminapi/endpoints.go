// This file adapts the operations of the service to go-kit endpoints and checks
// the role of the caller.

package adminapi

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"github.com/vanetiller/vanetiller/internal/tenant"
)

type principalKey struct{}

func withPrincipal(ctx context.Context, principal tenant.Principal) context.Context {
	return context.WithValue(ctx, principalKey{}, principal)
}

// principalOf returns the principal stored in the request context by
// authentication. It panics if there is none.
func principalOf(ctx context.Context) tenant.Principal {
	principal, authenticated := ctx.Value(principalKey{}).(tenant.Principal)
	if !authenticated {
		panic("adminapi: the request context has no principal; the request was not authenticated")
	}
	return principal
}

// requireRole returns middleware that refuses principals without the rights of a
// role.
func requireRole(role tenant.Role) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			if !principalOf(ctx).Role.Includes(role) {
				return nil, Error{Code: CodeForbidden, Message: "this operation requires the role " + string(role)}
			}
			return next(ctx, request)
		}
	}
}

func (s *service) tableEndpoint(ctx context.Context, request any) (any, error) {
	return s.table(principalOf(ctx), request.(tableRequest))
}

func (s *service) changeEndpoint(ctx context.Context, request any) (any, error) {
	return s.change(ctx, principalOf(ctx), request.(ChangeRequest))
}

func (s *service) drainEndpoint(ctx context.Context, request any) (any, error) {
	return s.drain(ctx, principalOf(ctx), request.(drainRequest))
}

func (s *service) zonesEndpoint(ctx context.Context, _ any) (any, error) {
	return s.zones(principalOf(ctx)), nil
}

func (s *service) closeZoneEndpoint(ctx context.Context, request any) (any, error) {
	return s.closeZone(ctx, principalOf(ctx), request.(zoneRequest))
}

func (s *service) importSnapshotEndpoint(ctx context.Context, request any) (any, error) {
	return s.importSnapshot(ctx, principalOf(ctx), request.(SnapshotRequest))
}

func (s *service) exportSnapshotEndpoint(ctx context.Context, _ any) (any, error) {
	response, err := s.table(principalOf(ctx), tableRequest{})
	return response.Table, err
}

func (s *service) outcomeEndpoint(ctx context.Context, request any) (any, error) {
	return outcomeResponse{s.outcome(principalOf(ctx), request.(outcomeRequest).id)}, nil
}

func (s *service) historyEndpoint(ctx context.Context, request any) (any, error) {
	return s.history(principalOf(ctx), request.(historyRequest)), nil
}

func (s *service) versionStatusEndpoint(_ context.Context, request any) (any, error) {
	return s.store.VersionStatus(request.(versionStatusRequest).version), nil
}

func (s *service) membersEndpoint(context.Context, any) (any, error) {
	return MembersResponse{s.store.Members()}, nil
}

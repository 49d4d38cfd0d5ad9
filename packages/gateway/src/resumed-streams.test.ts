import type {CallerRequest} from '@siskinplank/serving';
import {OriginSource, OriginVerdictType} from '@siskinplank/stream-origins';
import type {OriginVerdict} from '@siskinplank/stream-origins';
import {describe, expect, it} from 'vitest';
import type {AdmittedTarget} from './admission';
import {resolveTarget} from './resumed-streams';
import type {StreamOrigins} from './stream-origins';

const request = {attemptId: 'later', resumedAttemptId: 'a'} as CallerRequest;
const target = {service: 's', softwareVersion: undefined} as AdmittedTarget;
const known: OriginVerdict = {
  type: OriginVerdictType.Known,
  origin: {service: 'other', softwareVersion: '1'},
  source: OriginSource.Record,
};

function resolve(
  verdict: OriginVerdict | undefined,
  servingVersions: readonly string[] = [],
  isLoaded = true,
): unknown {
  const origins = {findOrigin: () => verdict, isLoaded: () => isLoaded};
  const upstreams = {
    listServiceUpstreams: (service: string) =>
      service === 'other'
        ? servingVersions.map(softwareVersion => ({
            upstream: {softwareVersion},
          }))
        : [],
  };
  return resolveTarget(
    {
      origins: origins as unknown as StreamOrigins,
      upstreams: upstreams as never,
    },
    request,
    target,
    0,
    0,
  ).extract();
}

describe('target of a request that resumes a stream', () => {
  it('is the service and the version that began it', () => {
    expect(resolve(known, ['2', '1'])).toEqual({
      service: 'other',
      softwareVersion: '1',
      originSource: OriginSource.Record,
    });
  });

  it('is left as it is for a request that resumes none', () => {
    expect(resolve(undefined)).toEqual(target);
  });

  // Without it, the request would wait for a version that may never come back.
  it('is refused at once when the version is gone', () => {
    expect(resolve(known, ['2'])).toEqual({code: 'version-not-served'});
    expect(resolve({type: OriginVerdictType.NotServed}, ['1'])).toEqual({
      code: 'version-not-served',
    });
  });

  // Guards against a final refusal by a gateway that has not read the upstreams yet.
  it('is refused with a delay while no upstream is known', () => {
    expect(resolve(known)).toEqual({code: 'no-upstream', retryAfterMs: 200});
  });

  it('is refused when it is not known, with a delay only while it may become so', () => {
    const unknown: OriginVerdict = {type: OriginVerdictType.Unknown};
    expect(resolve(unknown)).toEqual({code: 'origin-unknown'});
    expect(resolve(unknown, [], false)).toMatchObject({
      code: 'origin-unknown',
      retryAfterMs: 200,
    });
  });
});

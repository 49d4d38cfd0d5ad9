import {describe, expect, it} from 'vitest';
import {computeRequestFingerprint} from './requests';
import type {CallerRequest, RequestIdentity} from './requests';

const REQUEST = {
  attemptId: 'a1',
  method: 'GET',
  target: '/status/7',
  hostName: 'one.example',
  deadlineMs: 500,
  key: 'key-1',
  promptParts: [],
} as unknown as CallerRequest;

const IDENTITY: RequestIdentity = {
  request: REQUEST,
  account: 'one',
  body: undefined,
};

const compute = (
  request: Partial<CallerRequest>,
  rest: Partial<RequestIdentity> = {},
): string =>
  computeRequestFingerprint({
    ...IDENTITY,
    ...rest,
    request: {...REQUEST, ...request},
  });

describe('fingerprint of a request', () => {
  it('stays the same when the caller sends it again', () => {
    const again = {attemptId: 'a2', deadlineMs: 200, key: 'key-2'};
    expect(compute(again)).toBe(compute({}));
  });

  it.each([
    ['another path', compute({target: '/status/8'})],
    ['another method', compute({method: 'DELETE'})],
    ['another host', compute({hostName: 'two.example'})],
    ['another account', compute({}, {account: 'two'})],
    ['no account', compute({}, {account: undefined})],
    ['a body', compute({}, {body: Buffer.from('b')})],
    ['a prompt', compute({promptParts: [{id: 'p', tokens: 1}]})],
  ])('differs for %s', (_name, fingerprint) => {
    expect(fingerprint).not.toBe(compute({}));
  });

  it('tells callers without an account apart by their keys', () => {
    const anonymous = {account: undefined};
    expect(compute({key: 'key-2'}, anonymous)).not.toBe(compute({}, anonymous));
  });

  it('is that of the prompt where the request names its parts', () => {
    const promptParts = [{id: 'p', tokens: 1}];
    const prompt = compute({promptParts});
    expect(compute({promptParts, target: '/other'}, {account: 'two'})).toBe(
      prompt,
    );
    expect(compute({promptParts: [{id: 'q', tokens: 1}]})).not.toBe(prompt);
  });
});

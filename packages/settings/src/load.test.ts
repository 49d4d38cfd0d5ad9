import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {formatProblem, parseSettings} from './index';

const VALID_SIDE = `role: side
process:
  name: side-1
  failureDomain: fd-a
link:
  port: 7001
  clusterKeyFiles: [cluster.key]
platform:
  host: 127.0.0.1
  port: 7100
upstream: engine-1
http:
  port: 7002
`;

const VALID_ENTRY = `role: entry
process:
  name: entry-1
  failureDomain: fd-a
link:
  port: 7001
  clusterKeyFiles: [cluster.key]
platform:
  host: 127.0.0.1
  port: 7100
caller: {port: 7002}
admin:
  port: 7003
keyHashSecretFile: key-hash.secret
`;

describe('settings', () => {
  it('fills in defaults of a valid file', () => {
    const settings = parseSettings('side.yaml', VALID_SIDE).unsafeCoerce();
    expect(settings).toMatchObject({role: 'side', drain: {graceMs: 30_000}});
  });

  it('reports file, line and key of an invalid value', () => {
    const text = VALID_SIDE.replace('port: 7001', 'port: many');
    const problems = parseSettings('side.yaml', text).swap().unsafeCoerce();
    expect(problems).toMatchObject([
      {file: 'side.yaml', line: 6, key: 'link.port'},
    ]);
  });

  it('rejects unknown keys so that a misspelt setting is not ignored', () => {
    const text = VALID_SIDE + 'quue:\n  maxRequests: 3\n';
    const problems = parseSettings('side.yaml', text).swap().unsafeCoerce();
    expect(problems.map(formatProblem)).toEqual([
      'side.yaml:14: quue: unknown key; remove it',
    ]);
  });

  it('reports invalid YAML with its line', () => {
    const problems = parseSettings('side.yaml', VALID_SIDE + 'a: [')
      .swap()
      .unsafeCoerce();
    expect(problems[0].line).toBeGreaterThan(13);
  });

  // Guards against deleting claims while clients may still repeat the request.
  it('rejects a claim retention below the margin over deadline and outage', () => {
    const check = (claims: string) =>
      parseSettings(
        'entry.yaml',
        `${VALID_ENTRY}claims:\n  retentionMs: ${claims}\n`,
      );
    expect(check('1800000').isRight()).toBe(true);
    const problems = check('1799999').swap().unsafeCoerce();
    expect(problems.map(formatProblem)).toEqual([
      'entry.yaml:16: claims.retentionMs: expected at least 1800000, 1.5 times ' +
        'the sum of caller.maxDeadlineMs and claims.outageMs',
    ]);
    const settings = parseSettings('entry.yaml', VALID_ENTRY).unsafeCoerce();
    expect(settings).toMatchObject({claims: {retentionMs: 86_400_000}});
  });

  it('never throws on arbitrary text', () => {
    fc.assert(
      fc.property(fc.string({maxLength: 300}), text => {
        expect(parseSettings('any.yaml', text).isLeft()).toBe(true);
      }),
    );
  });
});

import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {listEvents, renderPages} from '../../../scripts/write-docs.mjs';

describe('pages generated from the code', () => {
  it('are up to date with the log events and commands', () => {
    for (const [path, text] of renderPages()) {
      expect(readFileSync(path, 'utf8'), path).toBe(text);
    }
  });

  it('give each log event its own number', () => {
    const ids = listEvents().map(event => event.id);
    expect(new Set(ids).size).toBe(ids.length);
  });
});

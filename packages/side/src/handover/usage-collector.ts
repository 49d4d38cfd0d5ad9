/** Collects a JSON response of limited size to read its usage. */
import type {Usage} from '@siskinplank/messages';
import {createByteAccumulator} from '@siskinplank/receive-buffers';
import type {ReceiveBudget} from '@siskinplank/receive-buffers';
import {MAX_PARSED_BYTES, UPSTREAM_SOURCE} from '../constants';
import {parseUsage} from './events-reader';

/** Collector of one response. */
export interface UsageCollector {
  push(data: Uint8Array): void;
  /** Returns the usage if the whole response could be kept; drops the bytes. */
  getUsage(): Usage | undefined;
}

/** Creates a collector, which keeps nothing of other content types. */
export function createUsageCollector(
  contentType: string,
  receiveBudget: ReceiveBudget,
): UsageCollector {
  let isKept = contentType.startsWith('application/json');
  const drop = (): void => {
    isKept = false;
    bytes.clear();
  };
  const bytes = createByteAccumulator({
    maxBytes: MAX_PARSED_BYTES,
    reservation: receiveBudget.open(UPSTREAM_SOURCE, drop),
  });
  return {
    push: data => {
      if (isKept) bytes.append(data).ifLeft(drop);
    },
    getUsage: () =>
      isKept ? parseUsage(bytes.take().toString('utf8')) : undefined,
  };
}

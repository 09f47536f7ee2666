package io.mothrill.core.forward.view.exchange;

import io.mothrill.core.platform.InstanceRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Draws the instances that receive a notice.
 *
 * <p>Most are in the sender's failure domain: messages between domains are slower and cost more,
 * but without any the instances of a domain that the store refuses would learn nothing.
 */
final class ExchangeRecipients {

  private final InstanceRecord self;
  private final Supplier<List<InstanceRecord>> others;
  private final RandomGenerator random;

  ExchangeRecipients(
      InstanceRecord self, Supplier<List<InstanceRecord>> others, RandomGenerator random) {
    this.self = self;
    this.others = others;
    this.random = random;
  }

  /**
   * Draws recipients.
   *
   * @param ownDomainCount how many in the own failure domain
   * @return these and one of all domains; fewer if there are not as many
   */
  List<InstanceRecord> draw(int ownDomainCount) {
    List<InstanceRecord> all = others.get();
    List<InstanceRecord> ownDomain =
        all.stream().filter(other -> other.domain().equals(self.domain())).toList();
    return Stream.concat(drawFrom(ownDomain, ownDomainCount), drawFrom(all, 1)).distinct().toList();
  }

  private Stream<InstanceRecord> drawFrom(List<InstanceRecord> instances, int count) {
    List<InstanceRecord> left = new ArrayList<>(instances);
    List<InstanceRecord> drawn = new ArrayList<>();
    while (!left.isEmpty() && drawn.size() < count) {
      drawn.add(left.remove(random.nextInt(left.size())));
    }
    return drawn.stream();
  }
}
